package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.snipewick.failure.Failure;

/**
 * How an answer ended.
 *
 * @param outputTokens output tokens in all
 * @param failure why it is not complete; empty if it is
 */
public record Ending(int outputTokens, Optional<Failure> failure) {

  /** Checks the failure. */
  public Ending {
    requireNonNull(failure, "failure");
  }

  /**
   * Returns the ending of a complete answer.
   *
   * @param outputTokens output tokens in all
   * @return ending
   */
  public static Ending complete(int outputTokens) {
    return new Ending(outputTokens, Optional.empty());
  }

  /**
   * Returns the ending of an answer that is not complete.
   *
   * @param outputTokens output tokens until then
   * @param failure why it ended
   * @return ending
   */
  public static Ending failed(int outputTokens, Failure failure) {
    return new Ending(outputTokens, Optional.of(failure));
  }
}
