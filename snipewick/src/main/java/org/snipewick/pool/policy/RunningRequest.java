package org.snipewick.pool.policy;

import static java.util.Objects.requireNonNull;

import org.snipewick.pool.WorkRequest;

/** Request that was granted an endpoint and has not ended. */
public final class RunningRequest {
  private static final double NANOS_PER_MILLI = 1e6;

  private final WorkRequest work;
  private final long grantedNanos;
  private final long deadlineNanos;
  private final double uncachedTokens;
  private final double firstTokenPrefillTokens;
  private int outputTokens;
  private long lastProgressNanos;

  /**
   * Creates a running request.
   *
   * @param work request
   * @param grantedNanos time of the grant, on the scheduler's monotonic clock, in nanoseconds
   * @param deadlineNanos deadline of the complete answer, on the same clock, in nanoseconds
   * @param uncachedTokens expected number of its prompt tokens to be prefilled
   * @param firstTokenPrefillTokens expected number of prompt tokens to be prefilled until its first
   *     output token, those of earlier requests included
   */
  public RunningRequest(
      WorkRequest work,
      long grantedNanos,
      long deadlineNanos,
      double uncachedTokens,
      double firstTokenPrefillTokens) {
    this.work = requireNonNull(work, "work");
    this.grantedNanos = grantedNanos;
    this.deadlineNanos = deadlineNanos;
    this.uncachedTokens = uncachedTokens;
    this.firstTokenPrefillTokens = firstTokenPrefillTokens;
    this.lastProgressNanos = grantedNanos;
  }

  /**
   * Returns the request.
   *
   * @return request
   */
  public WorkRequest work() {
    return work;
  }

  /**
   * Returns the time of the grant.
   *
   * @return monotonic time, in nanoseconds
   */
  public long grantedNanos() {
    return grantedNanos;
  }

  /**
   * Returns the number of its prompt tokens that are still to be prefilled.
   *
   * @return number of tokens; 0 after the first output token
   */
  public double prefillBacklogTokens() {
    return outputTokens > 0 ? 0 : uncachedTokens;
  }

  /**
   * Returns the number of prompt tokens to be prefilled until the first output token.
   *
   * @return number of tokens, those of earlier requests included
   */
  public double firstTokenPrefillTokens() {
    return firstTokenPrefillTokens;
  }

  /**
   * Returns the progress of the answer.
   *
   * @return number of output tokens so far
   */
  public int outputTokens() {
    return outputTokens;
  }

  /**
   * Returns the time of the last progress of the answer, or of the grant if there was none.
   *
   * @return monotonic time, in nanoseconds
   */
  public long lastProgressNanos() {
    return lastProgressNanos;
  }

  /**
   * Records the progress of the answer. Has no effect unless the number of tokens has grown.
   *
   * @param tokens number of output tokens so far
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void recordProgress(int tokens, long nowNanos) {
    if (tokens > outputTokens) {
      outputTokens = tokens;
      lastProgressNanos = nowNanos;
    }
  }

  /**
   * Returns the time left until the deadline.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds; negative if it has passed
   */
  public double remainingMillis(long nowNanos) {
    return (deadlineNanos - nowNanos) / NANOS_PER_MILLI;
  }
}
