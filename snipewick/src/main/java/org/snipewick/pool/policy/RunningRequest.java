package org.snipewick.pool.policy;

import static java.util.Objects.requireNonNull;

import org.snipewick.pool.WorkRequest;

/** A request that was granted an endpoint and has not finished. */
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
   * @param work the request
   * @param grantedNanos when it was granted, on the scheduler's monotonic clock
   * @param deadlineNanos when its answer must be complete, on the same clock
   * @param uncachedTokens prompt tokens that probably have to be prefilled
   * @param prefillTokens the same with all prompts that were ahead of it
   */
  public RunningRequest(
      WorkRequest work,
      long grantedNanos,
      long deadlineNanos,
      double uncachedTokens,
      double prefillTokens) {
    this.work = requireNonNull(work, "work");
    this.grantedNanos = grantedNanos;
    this.deadlineNanos = deadlineNanos;
    this.uncachedTokens = uncachedTokens;
    this.firstTokenPrefillTokens = prefillTokens;
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
   * Returns when it was granted.
   *
   * @return monotonic time, in nanoseconds
   */
  public long grantedNanos() {
    return grantedNanos;
  }

  /**
   * Returns the prompt tokens that still have to be prefilled.
   *
   * @return tokens; 0 after the first output token
   */
  public double prefillBacklogTokens() {
    return outputTokens > 0 ? 0 : uncachedTokens;
  }

  /**
   * Returns the prompt tokens that had to be prefilled until the first output token.
   *
   * @return tokens, those of earlier requests included
   */
  public double firstTokenPrefillTokens() {
    return firstTokenPrefillTokens;
  }

  /**
   * Returns how far the answer is.
   *
   * @return output tokens so far
   */
  public int outputTokens() {
    return outputTokens;
  }

  /**
   * Returns when the answer last moved on.
   *
   * @return monotonic time, in nanoseconds
   */
  public long lastProgressNanos() {
    return lastProgressNanos;
  }

  /**
   * Notes how far the answer is.
   *
   * @param tokens output tokens so far
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
   * @return milliseconds, negative when it has passed
   */
  public double remainingMillis(long nowNanos) {
    return (deadlineNanos - nowNanos) / NANOS_PER_MILLI;
  }
}
