package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.FailureException;
import org.snipewick.store.TableWriter;
import org.snipewick.time.TimerService;

/** Registers the own instance in the store, again and again until the store has taken it. */
public final class Registration {
  /** A restart of all instances at once then writes each row within a second. */
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(500);

  private final TableWriter store;
  private final FleetMember self;
  private final TimerService timer;
  private final EventLog events;
  private final RandomGenerator random;
  private final CompletableFuture<Long> registered = new CompletableFuture<>();
  private boolean hasFailed;

  private Registration(
      TableWriter store,
      FleetMember self,
      TimerService timer,
      EventLog events,
      RandomGenerator random) {
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
   * @param self the own instance
   * @param timer source of time
   * @param events log that gets loss and success
   * @param random randomness of the pauses
   * @return number of the transaction that wrote the row; later processes of the same instance get
   *     higher ones
   */
  public static CompletableFuture<Long> start(
      TableWriter store,
      FleetMember self,
      TimerService timer,
      EventLog events,
      RandomGenerator random) {
    Registration registration = new Registration(store, self, timer, events, random);
    registration.write();
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
                events.record(EventType.INSTANCE_REGISTERED, "", Map.of("incarnation", version));
                registered.complete(version);
              } else {
                failed(thrown);
              }
            });
  }

  private void failed(Throwable thrown) {
    if (!hasFailed) {
      hasFailed = true;
      String detail = FailureException.unwrap(thrown).detail();
      events.record(EventType.TABLE_LOST, FleetMember.TABLE, Map.of("detail", detail));
    }
    long pause = 1 + random.nextLong(LONGEST_PAUSE.toMillis());
    timer.after(Duration.ofMillis(pause), this::write);
  }
}
