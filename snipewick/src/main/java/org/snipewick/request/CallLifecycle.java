package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.identity.Tier;

/**
 * Decides the race between the dispatch of a call and giving it up, so that a call of which is said
 * that it was not run is never dispatched afterwards.
 */
public final class CallLifecycle {
  private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.PENDING);
  private final AtomicReference<Tier> tier = new AtomicReference<>();
  private final AtomicBoolean callerGone = new AtomicBoolean();
  private final AtomicBoolean outlivesCaller = new AtomicBoolean();
  private final AtomicBoolean keyAsked = new AtomicBoolean();
  private final CompletableFuture<Failure> abandonment = new CompletableFuture<>();

  private CallLifecycle() {}

  /**
   * Returns the lifecycle of a new call.
   *
   * @return lifecycle
   */
  public static CallLifecycle create() {
    return new CallLifecycle();
  }

  /**
   * Begins a dispatch.
   *
   * @return false if the call was given up on, and nothing may be dispatched
   */
  public boolean beginDispatch() {
    return phase.compareAndSet(Phase.PENDING, Phase.DISPATCHED);
  }

  /** Takes a dispatch back of which is proved that it did not happen. */
  public void retractDispatch() {
    Phase before = phase.getAndUpdate(CallLifecycle::retracted);
    if (before == Phase.DISPATCHED && abandonment.isDone()) {
      phase.compareAndSet(Phase.PENDING, Phase.ABANDONED);
    }
  }

  /**
   * Gives the call up; only the first time has an effect.
   *
   * @param reason why; its outcome is replaced by what is true of this call
   */
  public void abandon(Failure reason) {
    requireNonNull(reason, "reason");
    phase.compareAndSet(Phase.PENDING, Phase.ABANDONED);
    abandonment.complete(reason);
  }

  /** Lets the call, once dispatched, run to its end even if its caller leaves. */
  public void outliveCaller() {
    outlivesCaller.set(true);
  }

  /** Notes that the caller left, which gives the call up unless it is to run to its end. */
  public void callerLeft() {
    callerGone.set(true);
    if (!isDispatched() || !outlivesCaller.get()) {
      abandon(Failure.notRun(FailureType.CALLER_LEFT, "caller closed its connection"));
    }
  }

  /**
   * Tells whether the caller left before its answer was delivered.
   *
   * @return whether nobody waits for the answer
   */
  public boolean isCallerGone() {
    return callerGone.get();
  }

  /**
   * Tells whether the call was dispatched, and no proof came that it was not.
   *
   * @return whether it may run or have run
   */
  public boolean isDispatched() {
    return phase.get() == Phase.DISPATCHED;
  }

  /** Notes that earlier calls with the idempotency key of this one are being looked up. */
  public void askKey() {
    keyAsked.set(true);
  }

  /**
   * Tells whether earlier calls with the idempotency key of this one have been looked up.
   *
   * @return whether an outcome of this call speaks for them too
   */
  public boolean isKeyAsked() {
    return keyAsked.get();
  }

  /**
   * Tells when the call is given up on.
   *
   * @return completes with the reason; never fails
   */
  public CompletableFuture<Failure> abandonment() {
    return abandonment;
  }

  /**
   * Returns what is true of a call that ended with a failure.
   *
   * @param failure why it ended
   * @return failure, whose outcome is not-run only if nothing was dispatched
   */
  public Failure settle(Failure failure) {
    if (!isDispatched()) {
      return failure.withOutcome(Outcome.NOT_RUN);
    }
    return failure.outcome() == Outcome.RAN ? failure : failure.withOutcome(Outcome.UNKNOWN);
  }

  /**
   * Returns the tier of the call.
   *
   * @return tier, empty until it is known
   */
  public Optional<Tier> tier() {
    return Optional.ofNullable(tier.get());
  }

  /**
   * Notes the tier of the call.
   *
   * @param known tier
   */
  public void setTier(Tier known) {
    tier.set(requireNonNull(known, "known"));
  }

  private static Phase retracted(Phase current) {
    return current == Phase.DISPATCHED ? Phase.PENDING : current;
  }

  private enum Phase {
    PENDING,
    DISPATCHED,
    ABANDONED
  }
}
