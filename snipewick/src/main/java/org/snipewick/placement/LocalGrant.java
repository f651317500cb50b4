package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.snipewick.identity.EndpointId;

/** Grant of a queue of this instance, which counts the request as in flight until it ends. */
final class LocalGrant implements PlacementGrant {
  private final PoolPlacement pool;
  private final EndpointId endpoint;
  private final long promptTokens;
  private final long placedNanos;
  private boolean isPrefillEnded;
  private boolean hasEnded;

  LocalGrant(PoolPlacement pool, EndpointId endpoint, long promptTokens, long placedNanos) {
    this.pool = requireNonNull(pool, "pool");
    this.endpoint = requireNonNull(endpoint, "endpoint");
    this.promptTokens = promptTokens;
    this.placedNanos = placedNanos;
  }

  @Override
  public void endPrefill() {
    if (!isPrefillEnded) {
      isPrefillEnded = true;
      pool.endPrefill(endpoint, promptTokens);
    }
  }

  @Override
  public void recordServiceTime(double nanosPerUnit, long nowNanos) {
    if (!hasEnded) {
      pool.recordServiceTime(endpoint, nanosPerUnit, nowNanos);
    }
  }

  @Override
  public void updateReportedLoad(ReportedLoad load, long nowNanos) {
    if (!hasEnded) {
      pool.updateReportedLoad(endpoint, load, nowNanos);
    }
  }

  @Override
  public void pause(Duration pause, long nowNanos) {
    if (!hasEnded) {
      pool.pause(endpoint, pause, nowNanos);
    }
  }

  @Override
  public void end(AttemptResult result, long nowNanos) {
    if (!hasEnded) {
      hasEnded = true;
      endPrefill();
      pool.end(endpoint, result, placedNanos, nowNanos);
    }
  }
}
