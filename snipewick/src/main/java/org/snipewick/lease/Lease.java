package org.snipewick.lease;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.time.TimerService;

/**
 * Lease that this process holds, as of its last renewal.
 *
 * @param name name of the lease
 * @param fencing fencing number of this holder; endpoints may reject lower ones
 * @param endNanos when the lease expires for the holder, which has to stop then, in nanoseconds on
 *     its monotonic clock
 * @param timer clock of the holder
 */
public record Lease(String name, long fencing, long endNanos, TimerService timer) {

  /** Checks that name and timer are not null. */
  public Lease {
    requireNonNull(name, "name");
    requireNonNull(timer, "timer");
  }

  /**
   * Checks that the lease has not expired, by the holder's clock at the moment of the call. A
   * process that was paused thus detects that its lease expired even before any of its timers has
   * run.
   *
   * @return failure of type {@link FailureType#LEASE_NOT_HELD} if the lease has expired, otherwise
   *     empty
   */
  public Optional<Failure> check() {
    return timer.nanoTime() - endNanos < 0
        ? Optional.empty()
        : Optional.of(Failure.notRun(FailureType.LEASE_NOT_HELD, "lease " + name + " has expired"));
  }
}
