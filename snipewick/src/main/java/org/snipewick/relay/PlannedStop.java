package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.time.Duration;
import java.util.OptionalLong;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.route.CallKind;
import org.snipewick.time.TimerService;

/**
 * Decides which calls may be passed on during a planned stop: those that can end before it does.
 * Answers the load of callers that go on using this instance, as others serve them at once. Used on
 * one event loop only.
 */
final class PlannedStop implements RelayFilter {
  /** Short, as another instance can accept the request at once. */
  static final Duration RETRY_AFTER = Duration.ofMillis(50);

  private final TimerService timer;
  private final CallDurations durations = new CallDurations();
  private OptionalLong endNanos = OptionalLong.empty();

  PlannedStop(TimerService timer) {
    this.timer = requireNonNull(timer, "timer");
  }

  @Override
  public Promise<HttpResponse> apply(RelayCall call, Next next) {
    return canEnd(call) ? next.handle(call) : Promise.ofException(refusal().toException());
  }

  /** Records the end of a call that was passed on. */
  void recordEnd(RelayCall call) {
    long nowNanos = timer.nanoTime();
    durations.record(call.route().name(), nowNanos - call.request().receivedNanos(), nowNanos);
  }

  /** Begins the stop. */
  void begin(Duration timeLeft) {
    endNanos = OptionalLong.of(timer.nanoTime() + timeLeft.toNanos());
  }

  /**
   * Returns whether a call can end before the stop does. A call that may not run twice must be
   * certain to: it counts as lasting until its deadline, any other one as long as the longest
   * recent call of its route.
   *
   * @param call call that has not been passed on yet
   * @return whether it may be passed on
   */
  boolean canEnd(RelayCall call) {
    if (endNanos.isEmpty()) {
      return true;
    }
    long nowNanos = timer.nanoTime();
    long timeLeft = endNanos.getAsLong() - nowNanos;
    long longest = call.deadlineNanos() - nowNanos;
    if (call.route().kind() != CallKind.UNSAFE) {
      longest =
          Math.min(longest, durations.longestNanos(call.route().name(), nowNanos).orElse(longest));
    }
    return longest <= timeLeft;
  }

  /** Returns the failure of a call that is not passed on. */
  static Failure refusal() {
    return Failure.notRun(FailureType.STOPPING, "instance is stopping").withRetryAfter(RETRY_AFTER);
  }

  /** Returns the failure of a call that is open when the stop ends. */
  static Failure ending(boolean mayHaveRun) {
    return mayHaveRun
        ? Failure.unknown(FailureType.OUTCOME_UNKNOWN, "instance stopped before the response ended")
        : refusal();
  }
}
