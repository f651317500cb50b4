package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.snipewick.placement.AttemptResult;
import org.snipewick.placement.HedgePolicy;
import org.snipewick.placement.PlacementDecision;
import org.snipewick.placement.PoolPlacement;
import org.snipewick.placement.WaitingRequest;

/**
 * Sends second attempts of slow calls and cancels the attempt that loses. Used on one event loop
 * only.
 */
final class Hedges {
  /** Time that the placement may assume to be left; a hedge never waits in the queue. */
  private static final long AMPLE_NANOS = Duration.ofMinutes(1).toNanos();

  private final RelayDependencies dependencies;
  private final RelayPools pools;
  private final RelayTelemetry telemetry;
  private final Sender sender;
  private final HedgePolicy policy;

  Hedges(
      RelayDependencies dependencies, RelayPools pools, RelayTelemetry telemetry, Sender sender) {
    this.dependencies = requireNonNull(dependencies, "dependencies");
    this.pools = requireNonNull(pools, "pools");
    this.telemetry = requireNonNull(telemetry, "telemetry");
    this.sender = requireNonNull(sender, "sender");
    policy =
        HedgePolicy.of(
            dependencies.retryBudget().hedgeShare(), dependencies.retryBudget().window());
  }

  /** Sends attempts of calls; implemented by the dispatcher. */
  interface Sender {

    /** Runs a step of a call; if it throws, the call ends, but nothing else does. */
    void runGuarded(RelayCall call, Runnable step);

    /** Returns whether a further attempt of a call may be sent, apart from budgets. */
    boolean mayRepeat(RelayCall call);

    /** Sends an attempt and handles its response. */
    void transmit(RelayCall call, RelayAttempt attempt);
  }

  /** Counts a call that begins. */
  void begin(RelayCall call) {
    if (policy.isEnabled()) {
      policy.countRequest(call.pool(), now());
    }
  }

  /** Schedules the hedge of a call whose first attempt was sent. */
  void scheduleFor(RelayCall call, RelayAttempt first) {
    if (!policy.isEnabled() || call.attempts() > 1 || !call.route().isIdempotent()) {
      return;
    }
    policy.delayNanos(call.route().name()).ifPresent(delay -> schedule(call, first, delay));
  }

  private void schedule(RelayCall call, RelayAttempt first, long delayNanos) {
    call.setHedgeTimer(
        dependencies
            .timer()
            .after(
                Duration.ofNanos(delayNanos),
                () -> sender.runGuarded(call, () -> hedge(call, first))));
  }

  private void hedge(RelayCall call, RelayAttempt first) {
    if (call.isFinished() || call.attempt().filter(current -> current == first).isEmpty()) {
      return;
    }
    if (!first.exchange().mayHaveBeenSent()) {
      // The connection is still being opened; the endpoint has not had its time to respond yet.
      scheduleFor(call, first);
      return;
    }
    PoolPlacement pool = pools.local().pool(call.pool());
    var situation =
        new HedgePolicy.Situation(
            sender.mayRepeat(call),
            first.exchange().mayHaveBeenSent(),
            hasResponse(call, first),
            pool.waiting());
    if (!HedgePolicy.allows(situation) || !pool.isUnrestrictedBy(call.version().filter())) {
      return;
    }
    Optional<PlacementDecision.Placed> placed = pool.tryPlace(requestOf(call), now());
    if (placed.isEmpty()) {
      return;
    }
    RelayAttempt hedge =
        new RelayAttempt(placed.get().endpoint(), pool.grant(placed.get(), now()), now());
    if (!HedgePolicy.hasRoom(placed.get())
        || !policy.trySpend(call.pool(), pools.retryBudget(call.pool()), now())) {
      hedge.end(AttemptResult.CANCELLED, now());
      return;
    }
    call.beginHedge(hedge);
    telemetry.hedgeSent(call, hedge, now());
    sender.transmit(call, hedge);
  }

  /** A stream has a response only once its first event has arrived. */
  private static boolean hasResponse(RelayCall call, RelayAttempt attempt) {
    return attempt.progress() == RelayAttempt.Progress.BODY
        || (attempt.progress() == RelayAttempt.Progress.HEAD && !call.isStreamRoute());
  }

  private WaitingRequest requestOf(RelayCall call) {
    return new WaitingRequest(
        "hedge-" + call.waitingId(),
        call.tier(),
        now(),
        now() + AMPLE_NANOS,
        now() + AMPLE_NANOS,
        call.request().promptTokens(),
        call.triedEndpoints());
  }

  /** Records that the response of an attempt, or the first event of its stream, has arrived. */
  void responded(RelayCall call, RelayAttempt attempt) {
    call.cancelHedgeTimer();
    if (policy.isEnabled() && call.hedge().filter(hedge -> hedge == attempt).isEmpty()) {
      recordResponseTime(call, attempt);
    }
    call.other(attempt).ifPresent(loser -> win(call, attempt, loser));
  }

  private void win(RelayCall call, RelayAttempt winner, RelayAttempt loser) {
    boolean hedgeWon = call.hedge().filter(hedge -> hedge == winner).isPresent();
    if (hedgeWon) {
      recordResponseTime(call, loser);
    }
    call.drop(loser);
    // Ended first, as closing the connection completes its response at once, which is then ignored.
    loser.end(AttemptResult.CANCELLED, now());
    loser.cancel(now());
    telemetry.hedgeEnded(call, hedgeWon ? winner : loser, hedgeWon, now());
  }

  private void recordResponseTime(RelayCall call, RelayAttempt first) {
    if (call.attempts() - (call.hedge().isPresent() ? 1 : 0) <= 1) {
      policy.recordResponseTime(call.route().name(), now() - first.placedNanos());
    }
  }

  /**
   * Ends a failed attempt of a call whose other attempt is still running, which then decides.
   *
   * @return false if there is no other attempt, so that the call is to be retried or ended
   */
  boolean leaveToOther(RelayCall call, RelayAttempt failed, AttemptResult result) {
    if (call.other(failed).isEmpty()) {
      return false;
    }
    boolean hedgeFailed = call.hedge().filter(hedge -> hedge == failed).isPresent();
    RelayAttempt hedge = call.hedge().orElseThrow();
    call.drop(failed);
    if (result == AttemptResult.REJECTED
        || result == AttemptResult.MISDIRECTED
        || result == AttemptResult.UNREACHABLE) {
      call.countDroppedAsNotRun(result != AttemptResult.UNREACHABLE);
    }
    Steps.runAll(
        () -> failed.end(result, now()),
        () -> failed.exchange().cancel(),
        () -> telemetry.hedgeEnded(call, hedge, !hedgeFailed, now()));
    return true;
  }

  private long now() {
    return dependencies.timer().nanoTime();
  }
}
