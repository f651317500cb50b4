package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.OptionalDouble;
import org.snipewick.registry.RegisteredEndpoint;

/**
 * Load and availability of one endpoint as this instance estimates them. Combines the requests that
 * this instance has in flight there with the reports of its peers and of the endpoint itself.
 * Service times are measured per unit of an answer, which is an event of a stream or a whole
 * answer. Not thread-safe.
 */
final class EndpointLoad {
  /**
   * Older reports are ignored. Endpoints report with their answers, about twice a second at the
   * users' loads.
   */
  private static final long REPORT_VALIDITY_NANOS = Duration.ofMillis(1500).toNanos();

  /** Pause after a rejection; about the time that one request takes at an endpoint. */
  private static final long REJECTION_PAUSE_NANOS = Duration.ofMillis(150).toNanos();

  private static final long FIRST_FAILURE_PAUSE_NANOS = Duration.ofMillis(250).toNanos();

  /** Longest pause after consecutive failures; an endpoint takes several seconds to restart. */
  private static final long MAX_FAILURE_PAUSE_NANOS = Duration.ofSeconds(4).toNanos();

  /** One failure may be due to the request; two consecutive ones are attributed to the endpoint. */
  private static final int FAILURES_BEFORE_PAUSE = 2;

  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  /** Weight of the newest sample in the moving average; about the last ten answers count. */
  private static final double SERVICE_TIME_WEIGHT = 0.1;

  private final MomentarySlowness momentarySlowness = new MomentarySlowness();

  private RegisteredEndpoint endpoint;
  private int slots;
  private int inFlight;
  private int placedByPeers;
  private long prefillTokens;
  private int peerInFlightFromEndpoint;
  private int peerInFlight;
  private boolean isPeerInFlightComplete;
  private long peerInFlightUntilNanos;
  private boolean hasPeerInFlight;
  private double meanNanosPerUnit;
  private long reportedAtNanos;
  private boolean hasReport;
  private int consecutiveFailures;
  private boolean isPaused;
  private long pausedUntilNanos;
  private boolean hasRequestedPause;
  private long requestedPauseUntilNanos;

  EndpointLoad(RegisteredEndpoint endpoint) {
    this.endpoint = requireNonNull(endpoint, "endpoint");
    this.slots = endpoint.slots();
  }

  RegisteredEndpoint endpoint() {
    return endpoint;
  }

  /**
   * Replaces the listed entry of this endpoint. Discards reports, failures and the service time if
   * the endpoint has restarted.
   */
  void update(RegisteredEndpoint listed) {
    if (listed.startedEpochMillis() != endpoint.startedEpochMillis()) {
      hasReport = false;
      consecutiveFailures = 0;
      isPaused = false;
      hasRequestedPause = false;
      meanNanosPerUnit = 0;
      momentarySlowness.reset();
    }
    endpoint = listed;
    slots = listed.slots();
  }

  /** Returns the number of requests in flight at the endpoint that this instance has placed. */
  int inFlight() {
    return inFlight;
  }

  /** Returns the requests of this instance in flight, whether it or a peer has placed them. */
  int ownInFlight() {
    return inFlight + placedByPeers;
  }

  /** Counts a request of this instance that a peer has placed and reports. */
  void beginPlacedByPeer() {
    placedByPeers++;
  }

  /** Removes a request of this instance that a peer has placed. */
  void endPlacedByPeer() {
    placedByPeers = Math.max(0, placedByPeers - 1);
  }

  /**
   * Returns the estimated number of requests in flight at the endpoint, those of this instance and
   * of its peers. While peers are silent and the endpoint's own report is valid, the peers' part is
   * the greater of what the other peers and the endpoint reported.
   */
  int estimatedInFlight(long nowNanos) {
    boolean isPeerInFlightValid = hasPeerInFlight && nowNanos - peerInFlightUntilNanos < 0;
    // What peers have placed for this instance is part of their reports, unless these are older.
    int reportedByPeers = Math.max(placedByPeers, isPeerInFlightValid ? peerInFlight : 0);
    boolean isReportValid = hasReport && nowNanos - reportedAtNanos < REPORT_VALIDITY_NANOS;
    boolean isComplete = isPeerInFlightValid && isPeerInFlightComplete;
    return inFlight
        + (isComplete || !isReportValid
            ? reportedByPeers
            : Math.max(reportedByPeers, peerInFlightFromEndpoint));
  }

  /**
   * Sets the number of requests that peers have in flight at the endpoint.
   *
   * @param count requests of the reporting peers
   * @param isComplete whether all peers report
   * @param validUntilNanos monotonic time until which the count is valid, in nanoseconds
   */
  void setPeersInFlight(int count, boolean isComplete, long validUntilNanos) {
    peerInFlight = count;
    isPeerInFlightComplete = isComplete;
    peerInFlightUntilNanos = validUntilNanos;
    hasPeerInFlight = true;
  }

  /**
   * Adds the time that each unit of an answer took, in nanoseconds, to the moving average. What is
   * known of the momentary speed of the endpoint is left out, so that the average is the usual one.
   */
  void addServiceTime(double nanosPerUnit, long nowNanos) {
    double usualNanos = nanosPerUnit / momentarySlowness.at(nowNanos);
    meanNanosPerUnit =
        meanNanosPerUnit == 0
            ? usualNanos
            : meanNanosPerUnit + SERVICE_TIME_WEIGHT * (usualNanos - meanNanosPerUnit);
  }

  /** Returns by what factor work takes longer now than usually at this endpoint. */
  double momentarySlowness(long nowNanos) {
    return momentarySlowness.at(nowNanos);
  }

  /** Returns the mean time of a unit of an answer in nanoseconds; empty before the first answer. */
  OptionalDouble meanNanosPerUnit() {
    return meanNanosPerUnit == 0 ? OptionalDouble.empty() : OptionalDouble.of(meanNanosPerUnit);
  }

  /** Returns the estimated number of free slots; negative if requests wait at the endpoint. */
  int freeSlots(long nowNanos) {
    return slots - estimatedInFlight(nowNanos);
  }

  int slots() {
    return slots;
  }

  /**
   * Returns whether the endpoint is neither leaving nor paused, either by its own request or after
   * rejections or failures.
   */
  boolean isAvailable(long nowNanos) {
    return !endpoint.isLeaving()
        && !(isPaused && nowNanos - pausedUntilNanos < 0)
        && requestedPauseNanos(nowNanos) == 0;
  }

  /**
   * Excludes the endpoint for a time that it asked for. Unlike a pause after failures, a response
   * to another request does not end it.
   */
  void requestPause(long untilNanos) {
    if (!hasRequestedPause || untilNanos - requestedPauseUntilNanos > 0) {
      requestedPauseUntilNanos = untilNanos;
      hasRequestedPause = true;
    }
  }

  /** Returns the nanoseconds that are left of the pause that the endpoint asked for. */
  long requestedPauseNanos(long nowNanos) {
    return hasRequestedPause ? Math.max(0, requestedPauseUntilNanos - nowNanos) : 0;
  }

  /** Counts a request of this instance that is sent to the endpoint and begins its prefill. */
  void begin(long promptTokens) {
    inFlight++;
    prefillTokens += promptTokens;
  }

  /** Removes the prompt of a request of this instance whose prefill has ended or was abandoned. */
  void endPrefill(long promptTokens) {
    prefillTokens = Math.max(0, prefillTokens - promptTokens);
  }

  /** Returns the prompt tokens of requests of this instance whose answers have not begun. */
  long prefillTokens() {
    return prefillTokens;
  }

  /** Stores the load that the endpoint reported with the beginning of an answer. */
  void updateReport(ReportedLoad load, long nowNanos) {
    slots = load.slots();
    peerInFlightFromEndpoint = Math.max(0, load.running() + load.queued() - inFlight);
    reportedAtNanos = nowNanos;
    hasReport = true;
    momentarySlowness.update(load.workTimePercent(), nowNanos);
  }

  /**
   * Counts the end of a request. The number of requests in flight does not fall below 0 if the
   * request was sent before the endpoint was removed and listed again.
   */
  void end() {
    inFlight = Math.max(0, inFlight - 1);
  }

  /** Pauses the endpoint after a rejection or consecutive failures; an answer ends the pause. */
  void recordResult(AttemptResult result, long nowNanos) {
    switch (result) {
      case ANSWERED -> {
        consecutiveFailures = 0;
        isPaused = false;
      }
      case REJECTED -> pauseUntil(nowNanos + REJECTION_PAUSE_NANOS);
      case MISDIRECTED -> pauseUntil(nowNanos + MAX_FAILURE_PAUSE_NANOS);
      case UNREACHABLE -> {
        consecutiveFailures = Math.max(consecutiveFailures, FAILURES_BEFORE_PAUSE);
        recordFailure(nowNanos);
      }
      case FAILED -> recordFailure(nowNanos);
      default -> {
        // A cancelled request says nothing about the endpoint.
      }
    }
  }

  private void recordFailure(long nowNanos) {
    consecutiveFailures++;
    if (consecutiveFailures >= FAILURES_BEFORE_PAUSE) {
      int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures - FAILURES_BEFORE_PAUSE);
      pauseUntil(
          nowNanos + Math.min(MAX_FAILURE_PAUSE_NANOS, FIRST_FAILURE_PAUSE_NANOS << doublings));
    }
  }

  private void pauseUntil(long untilNanos) {
    if (!isPaused || untilNanos - pausedUntilNanos > 0) {
      pausedUntilNanos = untilNanos;
      isPaused = true;
    }
  }
}
