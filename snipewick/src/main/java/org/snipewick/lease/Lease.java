package org.snipewick.lease;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.time.TimerService;

/**
 * Lease of a duty as its holder sees it, up to its last renewal.
 *
 * @param duty name of the duty
 * @param fencing number of this holder; endpoints may refuse lower ones
 * @param endNanos when the holder has to stop, on its own monotonic clock
 * @param timer clock of the holder
 */
public record Lease(String duty, long fencing, long endNanos, TimerService timer) {

  /** Checks the parts. */
  public Lease {
    requireNonNull(duty, "duty");
    requireNonNull(timer, "timer");
  }

  /**
   * Tells whether the holder may still act, judged by its clock at the moment of the call; a
   * process that was paused finds itself out here before any of its timers has run.
   *
   * @return {@link FailureType#LEASE_NOT_HELD} if it may not, empty if it may
   */
  public Optional<Failure> check() {
    return timer.nanoTime() - endNanos < 0
        ? Optional.empty()
        : Optional.of(Failure.notRun(FailureType.LEASE_NOT_HELD, "lease of " + duty + " is over"));
  }
}
