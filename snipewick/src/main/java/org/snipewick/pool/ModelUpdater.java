package org.snipewick.pool;

import org.snipewick.pool.policy.EndpointModel;
import org.snipewick.pool.policy.LengthModel;
import org.snipewick.pool.policy.RunningRequest;

/** Updates the learned models of speed and answer length from reports about running requests. */
final class ModelUpdater {
  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Minimum time between two samples of the token time. Earlier reports are skipped; the tokens in
   * them count in the next sample.
   */
  private static final double MIN_SAMPLE_INTERVAL_MILLIS = 150;

  /** Time without new tokens after which a report is a sample too, as if of one new token. */
  private static final double STALLED_SAMPLE_MILLIS = 1_000;

  private ModelUpdater() {}

  static void onFirstToken(
      EndpointModel endpoint, RunningRequest running, long sinceDispatchMillis, long nowNanos) {
    if (running.outputTokens() > 0) {
      return;
    }
    endpoint
        .speed()
        .observeFirstToken(running.firstTokenPrefillTokens(), (double) sinceDispatchMillis);
    running.recordProgress(1, nowNanos);
  }

  static void onProgress(
      EndpointModel endpoint, RunningRequest running, int tokens, long nowNanos) {
    double millis = (nowNanos - running.lastProgressNanos()) / NANOS_PER_MILLI;
    int newTokens = tokens - running.outputTokens();
    boolean pastFirstToken = running.outputTokens() > 0;
    if (pastFirstToken && newTokens > 0 && millis < MIN_SAMPLE_INTERVAL_MILLIS) {
      return;
    }
    if (pastFirstToken && (newTokens > 0 || millis > STALLED_SAMPLE_MILLIS)) {
      endpoint
          .speed()
          .observeToken(endpoint.batchSize(), millis / Math.max(1, newTokens), nowNanos);
    }
    running.recordProgress(tokens, nowNanos);
  }

  static void onFinished(
      EndpointModel endpoint,
      RunningRequest running,
      WorkEvent.Finished finished,
      LengthModel lengths,
      long nowNanos) {
    boolean isPlainServiceCall = running.work().maxOutputTokens() == 0;
    if (finished.result() == WorkEvent.Result.COMPLETE && isPlainServiceCall) {
      // A plain service has no tokens: its whole service time counts as that to the first token.
      double millis = (nowNanos - running.grantedNanos()) / NANOS_PER_MILLI;
      endpoint.speed().observeFirstToken(0, millis);
    } else if (finished.outputTokens() > 0) {
      lengths.observe(running.work().team(), finished.outputTokens());
    }
  }
}
