package org.snipewick.broker;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.snipewick.identity.EndpointId;
import org.snipewick.placement.AttemptResult;
import org.snipewick.placement.PlacementGrant;
import org.snipewick.placement.PoolPlacement;
import org.snipewick.placement.ReportedLoad;

/**
 * Grant of a broker. What is learned about the endpoint is kept at this instance too, for the time
 * when it places requests itself. Not thread-safe.
 */
final class BrokeredGrant implements PlacementGrant {
  private final long id;
  private final BrokerLink link;
  private final PoolPlacement pool;
  private final EndpointId endpoint;
  private final long promptTokens;
  private final long placedNanos;
  private Optional<PlacementGrant> adopted = Optional.empty();
  private List<BrokerMessages.Load> unsentLoad = List.of();
  private long nanosPerUnit;
  private long pauseMillis;
  private boolean isPrefillEnded;
  private boolean hasEnded;

  BrokeredGrant(
      long id,
      BrokerLink link,
      PoolPlacement pool,
      EndpointId endpoint,
      long promptTokens,
      long placedNanos) {
    this.id = id;
    this.link = requireNonNull(link, "link");
    this.pool = requireNonNull(pool, "pool");
    this.endpoint = requireNonNull(endpoint, "endpoint");
    this.promptTokens = promptTokens;
    this.placedNanos = placedNanos;
    pool.placedByPeers().begin(endpoint);
  }

  long id() {
    return id;
  }

  /** Counts the request at this instance from now on, as the broker may no longer count it. */
  void adopt() {
    if (!hasEnded && adopted.isEmpty()) {
      adopted =
          Optional.of(
              pool.placedByPeers().adopt(endpoint, isPrefillEnded ? 0 : promptTokens, placedNanos));
    }
  }

  @Override
  public void endPrefill() {
    if (isPrefillEnded || hasEnded) {
      return;
    }
    isPrefillEnded = true;
    if (adopted.isPresent()) {
      adopted.get().endPrefill();
    } else if (promptTokens > 0 || !unsentLoad.isEmpty()) {
      link.sendProgress(new BrokerMessages.Progress(id, unsentLoad));
      unsentLoad = List.of();
    }
  }

  @Override
  public void recordServiceTime(double nanos, long nowNanos) {
    if (!hasEnded) {
      nanosPerUnit = (long) nanos;
      pool.recordServiceTime(endpoint, nanos, nowNanos);
    }
  }

  @Override
  public void updateReportedLoad(ReportedLoad load, long nowNanos) {
    if (!hasEnded) {
      unsentLoad = List.of(BrokerMessages.Load.of(load));
      pool.updateReportedLoad(endpoint, load, nowNanos);
    }
  }

  @Override
  public void pause(Duration pause, long nowNanos) {
    if (!hasEnded) {
      pauseMillis = pause.toMillis();
      pool.pause(endpoint, pause, nowNanos);
    }
  }

  @Override
  public void end(AttemptResult result, long nowNanos) {
    if (hasEnded) {
      return;
    }
    hasEnded = true;
    if (adopted.isPresent()) {
      adopted.get().end(result, nowNanos);
    } else {
      pool.placedByPeers().end(endpoint, result, placedNanos, nowNanos);
      link.end(this, new BrokerMessages.End(id, result, nanosPerUnit, pauseMillis, unsentLoad));
    }
  }
}
