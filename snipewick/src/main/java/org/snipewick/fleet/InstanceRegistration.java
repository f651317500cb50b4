package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.FailureException;
import org.snipewick.store.EraTracker;
import org.snipewick.store.TableWriter;
import org.snipewick.time.TimerService;

/**
 * Registration of this instance in the store, which is retried until the write succeeds, and
 * written again in each new era of the store.
 */
public final class InstanceRegistration {
  /** With this bound, every row is written within a second after all instances restart at once. */
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(500);

  private final TableWriter store;
  private final FleetMember self;
  private final TimerService timer;
  private final EventLog events;
  private final RandomGenerator random;
  private final EraTracker eras;
  private final CompletableFuture<Long> registered = new CompletableFuture<>();
  private boolean hasFailed;

  private InstanceRegistration(
      TableWriter store,
      FleetMember self,
      TimerService timer,
      EventLog events,
      RandomGenerator random,
      EraTracker eras) {
    this.eras = requireNonNull(eras, "eras");
    this.store = requireNonNull(store, "store");
    this.self = requireNonNull(self, "self");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.random = requireNonNull(random, "random");
  }

  /**
   * Starts to register an instance.
   *
   * @param store access to the store
   * @param self this instance
   * @param timer source of time
   * @param events log to which the first failure and the success are written
   * @param random source of randomness for the retry delays
   * @param eras eras of the store
   * @return incarnation of this process, once the row was written; later processes of the same
   *     instance get higher ones, also after the store was restored from an older copy
   */
  public static CompletableFuture<Long> start(
      TableWriter store,
      FleetMember self,
      TimerService timer,
      EventLog events,
      RandomGenerator random,
      EraTracker eras) {
    InstanceRegistration registration =
        new InstanceRegistration(store, self, timer, events, random, eras);
    registration.write();
    eras.onNewEra(registration::writeLater);
    return registration.registered;
  }

  private void write() {
    store
        .put(FleetMember.TABLE, self.instance().value(), self.encode())
        .whenComplete(
            (version, thrown) -> {
              if (thrown == null) {
                if (hasFailed) {
                  events.record(EventType.TABLE_REGAINED, FleetMember.TABLE);
                }
                hasFailed = false;
                registered.complete(eras.incarnation(version));
                events.record(
                    EventType.INSTANCE_REGISTERED, "", Map.of("incarnation", registered.join()));
              } else {
                retryLater(thrown);
              }
            });
  }

  private void retryLater(Throwable thrown) {
    if (!hasFailed) {
      hasFailed = true;
      String detail = FailureException.unwrap(thrown).detail();
      events.record(EventType.TABLE_LOST, FleetMember.TABLE, Map.of("detail", detail));
    }
    writeLater();
  }

  private void writeLater() {
    long delayMillis = 1 + random.nextLong(MAX_RETRY_DELAY.toMillis());
    timer.after(Duration.ofMillis(delayMillis), this::write);
  }
}
