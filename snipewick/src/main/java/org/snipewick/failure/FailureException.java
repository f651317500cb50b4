package org.snipewick.failure;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletionException;

/**
 * Carries a {@link Failure} as an exception, for example through a {@link
 * java.util.concurrent.CompletableFuture}. It has neither a stack trace nor a cause.
 */
public final class FailureException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Failure failure;

  /**
   * Creates an exception that carries a failure.
   *
   * @param failure failure to carry
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
   * Returns the failure that an exception carries.
   *
   * @param thrown exception of a future, possibly wrapped in {@link CompletionException}
   * @return the carried failure, or {@link FailureType#INTERNAL} with outcome unknown if the
   *     exception carries none
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
