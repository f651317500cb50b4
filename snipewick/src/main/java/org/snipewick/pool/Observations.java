package org.snipewick.pool;

import org.snipewick.pool.policy.EndpointModel;
import org.snipewick.pool.policy.LengthModel;
import org.snipewick.pool.policy.Running;

/** What reports about running requests teach about speeds and lengths. */
final class Observations {
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double LEAST_INTERVAL_MILLIS = 150;
  private static final double STALL_MILLIS = 1_000;

  private Observations() {}

  static void firstToken(
      EndpointModel endpoint, Running running, long sinceDispatchMillis, long nowNanos) {
    if (running.outputTokens() > 0) {
      return;
    }
    endpoint.speed().observeFirstToken(running.prefillTokens(), (double) sinceDispatchMillis);
    running.progress(1, nowNanos);
  }

  static void progress(EndpointModel endpoint, Running running, int tokens, long nowNanos) {
    double millis = (nowNanos - running.progressNanos()) / NANOS_PER_MILLI;
    int added = tokens - running.outputTokens();
    boolean begun = running.outputTokens() > 0;
    if (begun && added > 0 && millis < LEAST_INTERVAL_MILLIS) {
      return;
    }
    if (begun && (added > 0 || millis > STALL_MILLIS)) {
      endpoint.speed().observeToken(endpoint.batch(), millis / Math.max(1, added), nowNanos);
    }
    running.progress(tokens, nowNanos);
  }

  static void finished(
      EndpointModel endpoint,
      Running running,
      WorkEvent.Finished finished,
      LengthModel lengths,
      long nowNanos) {
    boolean isPlainCall = running.work().maxOutputTokens() == 0;
    if (finished.result() == WorkEvent.Result.COMPLETE && isPlainCall) {
      double millis = (nowNanos - running.grantedNanos()) / NANOS_PER_MILLI;
      endpoint.speed().observeFirstToken(0, millis);
    } else if (finished.outputTokens() > 0) {
      lengths.observe(running.work().team(), finished.outputTokens());
    }
  }
}
