package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.snipewick.failure.Failure;

/**
 * How an answer ended.
 *
 * @param outputTokens total number of output tokens
 * @param failure why the answer is incomplete; empty if it is complete
 */
public record Ending(int outputTokens, Optional<Failure> failure) {

  /** Checks that the failure is not null. */
  public Ending {
    requireNonNull(failure, "failure");
  }

  /**
   * Returns the ending of a complete answer.
   *
   * @param outputTokens total number of output tokens
   * @return ending
   */
  public static Ending complete(int outputTokens) {
    return new Ending(outputTokens, Optional.empty());
  }

  /**
   * Returns the ending of an incomplete answer.
   *
   * @param outputTokens number of output tokens received until then
   * @param failure why the answer is incomplete
   * @return ending
   */
  public static Ending failed(int outputTokens, Failure failure) {
    return new Ending(outputTokens, Optional.of(failure));
  }
}
