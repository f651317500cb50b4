package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.snipewick.placement.AttemptResult;
import org.snipewick.placement.PlacementGrant;
import org.snipewick.placement.ReportedLoad;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.rollout.RequestVersion;
import org.snipewick.transport.Exchange;

/** One attempt to run a request at an endpoint; uses one of the endpoint's slots until it ends. */
final class RelayAttempt {
  private final RegisteredEndpoint endpoint;
  private final PlacementGrant grant;
  private final long placedNanos;
  private final Exchange exchange = Exchange.of();
  private Progress progress = Progress.SENT;
  private RequestVersion version = RequestVersion.ANY;
  private boolean hasEnded;

  RelayAttempt(RegisteredEndpoint endpoint, PlacementGrant grant, long placedNanos) {
    this.endpoint = requireNonNull(endpoint, "endpoint");
    this.grant = requireNonNull(grant, "grant");
    this.placedNanos = placedNanos;
  }

  /** How much of the response has arrived. */
  enum Progress {
    /** Nothing; the request may have been sent. */
    SENT,
    /** The status and the header fields. */
    HEAD,
    /** A part of the body, so the endpoint has begun to write the answer. */
    BODY
  }

  /** Returns whether the attempt has ended or was cancelled; what arrives afterwards is ignored. */
  boolean hasEnded() {
    return hasEnded;
  }

  /** Sets the version for which the attempt counts, and records that it is sent. */
  void countFor(RequestVersion chosen, long nowNanos) {
    version = requireNonNull(chosen, "chosen");
    version.started(endpoint, nowNanos);
  }

  /** Records that the first event of a stream has arrived. */
  void firstEventReceived(long nowNanos) {
    version.responded(nowNanos);
  }

  /** Counts the response as a failure of the endpoint's version, even if the attempt goes on. */
  void countFailure() {
    version.failed();
  }

  RegisteredEndpoint endpoint() {
    return endpoint;
  }

  Exchange exchange() {
    return exchange;
  }

  /** Records that a part of the response has arrived. */
  void advance(Progress reached) {
    progress = requireNonNull(reached, "reached");
  }

  Progress progress() {
    return progress;
  }

  /** Returns the monotonic time at which the request was placed at the endpoint, in nanoseconds. */
  long placedNanos() {
    return placedNanos;
  }

  /** Records that prefill has ended or was abandoned; later calls have no effect. */
  void endPrefill() {
    grant.endPrefill();
  }

  /** Records the load that the endpoint reported with its answer. */
  void updateReportedLoad(ReportedLoad load, long nowNanos) {
    grant.updateReportedLoad(load, nowNanos);
  }

  /** Records that the endpoint asked for a pause. */
  void pause(Duration pause, long nowNanos) {
    grant.pause(pause, nowNanos);
  }

  /** Frees the slot; later calls have no effect. */
  void end(AttemptResult result, long nowNanos) {
    if (!hasEnded) {
      hasEnded = true;
      if (result == AttemptResult.FAILED) {
        version.failed();
      } else if (result == AttemptResult.ANSWERED) {
        version.responded(nowNanos);
      }
      grant.end(result, nowNanos);
    }
  }

  /**
   * Frees the slot after a complete response. The duration of a successful one is recorded as a
   * measure of the endpoint's speed.
   */
  void endWithResponse(boolean isSuccess, long nowNanos) {
    if (isSuccess) {
      grant.recordServiceTime(nowNanos - placedNanos, nowNanos);
    }
    end(isSuccess ? AttemptResult.ANSWERED : AttemptResult.FAILED, nowNanos);
  }

  /**
   * Records the mean time per chunk of a stream, if known, as a measure of the endpoint's speed.
   */
  void recordChunkTime(Optional<Double> nanosPerChunk, long nowNanos) {
    nanosPerChunk.ifPresent(
        nanos -> {
          version.spaced(nanos);
          grant.recordServiceTime(nanos, nowNanos);
        });
  }

  /** Closes the connection, which makes the endpoint cancel the request, and frees the slot. */
  void cancel(long nowNanos) {
    exchange.cancel();
    end(AttemptResult.CANCELLED, nowNanos);
  }
}
