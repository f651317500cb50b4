package org.snipewick.failure;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletionException;

/** Carries a {@link Failure} through a {@link java.util.concurrent.CompletableFuture}. */
public final class FailureException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Failure failure;

  /**
   * Wraps a failure.
   *
   * @param failure what is carried
   */
  public FailureException(Failure failure) {
    super(failure.type() + ": " + failure.detail(), null, false, false);
    this.failure = requireNonNull(failure, "failure");
  }

  /**
   * Returns the carried failure.
   *
   * @return failure
   */
  public Failure failure() {
    return failure;
  }

  /**
   * Finds the failure in what a future was completed with.
   *
   * @param thrown exception, possibly wrapped in {@link CompletionException}
   * @return the carried failure, or {@link FailureType#INTERNAL} with outcome unknown if there is
   *     none
   */
  public static Failure unwrap(Throwable thrown) {
    Throwable current = thrown;
    while (current instanceof CompletionException && current.getCause() != null) {
      current = current.getCause();
    }
    return current instanceof FailureException carried
        ? carried.failure
        : Failure.unknown(FailureType.INTERNAL, String.valueOf(current));
  }
}
