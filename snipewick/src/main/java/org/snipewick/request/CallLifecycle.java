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
 * State of a call: pending, dispatched or abandoned. The changes of state are atomic: a call that
 * is abandoned before its dispatch is never dispatched, so that it can be reported as not run.
 * Thread-safe.
 */
public final class CallLifecycle {
  private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.PENDING);
  private final AtomicReference<Tier> tier = new AtomicReference<>();
  private final AtomicBoolean callerDisconnected = new AtomicBoolean();
  private final AtomicBoolean continuesWithoutCaller = new AtomicBoolean();
  private final AtomicBoolean keyLookupStarted = new AtomicBoolean();
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
   * Marks the call as dispatched.
   *
   * @return false if the call was abandoned, or is dispatched already, and must not be dispatched
   */
  public boolean beginDispatch() {
    return phase.compareAndSet(Phase.PENDING, Phase.DISPATCHED);
  }

  /**
   * Reverts a dispatch that provably did not happen. The call is then pending, or abandoned if it
   * was abandoned meanwhile.
   */
  public void revertDispatch() {
    Phase before = phase.getAndUpdate(CallLifecycle::toPending);
    if (before == Phase.DISPATCHED && abandonment.isDone()) {
      phase.compareAndSet(Phase.PENDING, Phase.ABANDONED);
    }
  }

  /**
   * Abandons the call; only the first invocation has an effect.
   *
   * @param reason why the call is abandoned; its outcome is replaced by that of this call
   */
  public void abandon(Failure reason) {
    requireNonNull(reason, "reason");
    phase.compareAndSet(Phase.PENDING, Phase.ABANDONED);
    abandonment.complete(reason);
  }

  /** Lets the call, once dispatched, run to its end even if its caller disconnects. */
  public void continueWithoutCaller() {
    continuesWithoutCaller.set(true);
  }

  /**
   * Marks the caller as disconnected. Abandons the call unless it is dispatched and {@link
   * #continueWithoutCaller} was invoked.
   */
  public void markCallerDisconnected() {
    callerDisconnected.set(true);
    if (!isDispatched() || !continuesWithoutCaller.get()) {
      abandon(Failure.notRun(FailureType.CALLER_LEFT, "caller closed its connection"));
    }
  }

  /**
   * Returns whether the caller disconnected before its answer was delivered.
   *
   * @return whether the answer can no longer be delivered
   */
  public boolean isCallerDisconnected() {
    return callerDisconnected.get();
  }

  /**
   * Returns whether the call was dispatched and the dispatch was not reverted.
   *
   * @return whether the call may run or have run
   */
  public boolean isDispatched() {
    return phase.get() == Phase.DISPATCHED;
  }

  /** Records that the lookup of earlier calls with the same idempotency key has started. */
  public void markKeyLookupStarted() {
    keyLookupStarted.set(true);
  }

  /**
   * Returns whether the lookup of earlier calls with the same idempotency key has started.
   *
   * @return whether the outcome of this call covers them too
   */
  public boolean isKeyLookupStarted() {
    return keyLookupStarted.get();
  }

  /**
   * Returns the abandonment of the call.
   *
   * @return future that completes with the reason when the call is abandoned; never fails
   */
  public CompletableFuture<Failure> abandonment() {
    return abandonment;
  }

  /**
   * Returns a failure with the outcome that follows from the state of this call.
   *
   * @param failure why the call ended
   * @return failure with outcome not-run if the call is not dispatched, ran if it is and the
   *     failure has that outcome, otherwise unknown
   */
  public Failure withOutcomeOfDispatch(Failure failure) {
    if (!isDispatched()) {
      return failure.withOutcome(Outcome.NOT_RUN);
    }
    return failure.outcome() == Outcome.RAN ? failure : failure.withOutcome(Outcome.UNKNOWN);
  }

  /**
   * Returns the tier of the call.
   *
   * @return tier, empty until it is set
   */
  public Optional<Tier> tier() {
    return Optional.ofNullable(tier.get());
  }

  /**
   * Sets the tier of the call.
   *
   * @param tier tier
   */
  public void setTier(Tier tier) {
    this.tier.set(requireNonNull(tier, "tier"));
  }

  private static Phase toPending(Phase current) {
    return current == Phase.DISPATCHED ? Phase.PENDING : current;
  }

  private enum Phase {
    PENDING,
    DISPATCHED,
    ABANDONED
  }
}
