package org.snipewick.broker;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.placement.LocalPlacer;
import org.snipewick.time.TimerService;

/**
 * Places requests of other instances by the queues of this one. Any instance that receives requests
 * does so; which one receives them is the choice of the requesters. Not thread-safe.
 */
final class Broker {
  /**
   * Requesters that hold grants send a message at least every second; a process with a CPU quota
   * may be late by some hundred milliseconds.
   */
  static final Duration REQUESTER_TIMEOUT = Duration.ofSeconds(4);

  private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);

  private final LocalPlacer placer;
  private final TimerService timer;
  private final EventLog events;
  private final RandomGenerator random;
  private final BiConsumer<InstanceId, BrokerMessages.FromBroker> sender;
  private final Map<InstanceId, BrokerRequester> requesters = new HashMap<>();
  private int brokers = 1;
  private boolean isStopped;

  Broker(
      LocalPlacer placer,
      TimerService timer,
      EventLog events,
      RandomGenerator random,
      BiConsumer<InstanceId, BrokerMessages.FromBroker> sender) {
    this.placer = requireNonNull(placer, "placer");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.random = requireNonNull(random, "random");
    this.sender = requireNonNull(sender, "sender");
    timer.every(CHECK_PERIOD, this::dropSilent);
  }

  /** Sets the number of brokers that choose among the endpoints of a pool, this one included. */
  void setBrokers(int count) {
    brokers = count;
  }

  /** Returns the number of instances that this one places requests for. */
  int requesters() {
    return requesters.size();
  }

  void onMessage(InstanceId from, BrokerMessages.ToBroker message) {
    if (isStopped) {
      sender.accept(from, closed(message.epoch()));
      return;
    }
    BrokerRequester requester = requesters.get(from);
    if (requester != null && !requester.isContinuedBy(message)) {
      requesters.remove(from);
      requester.drop();
      requester = null;
    }
    if (requester == null) {
      requester = newRequester(from, message.epoch());
      requesters.put(from, requester);
    }
    // Ends come first, as the slots that they free may serve the requests of the same message.
    Set<PoolName> changed = new HashSet<>(requester.applyNews(message));
    for (BrokerMessages.PlacementRequest request : message.requests()) {
      placer.pool(request.pool()).setBrokers(brokers);
      requester.enqueue(request);
      changed.add(request.pool());
    }
    changed.forEach(placer::decide);
    requester.acknowledge(message);
  }

  private BrokerRequester newRequester(InstanceId instance, long epoch) {
    long session = BrokerMessages.NO_SESSION;
    while (session == BrokerMessages.NO_SESSION) {
      session = random.nextLong();
    }
    return new BrokerRequester(
        instance, epoch, session, placer, timer, message -> sender.accept(instance, message));
  }

  private static BrokerMessages.FromBroker closed(long epoch) {
    return new BrokerMessages.FromBroker(
        epoch, BrokerMessages.NO_SESSION, 0, List.of(), List.of(), List.of());
  }

  /** Drops what was granted to an instance that is no longer registered. */
  void remove(InstanceId instance) {
    BrokerRequester requester = requesters.remove(instance);
    if (requester != null) {
      drop(requester, "gone");
    }
  }

  private void dropSilent() {
    long now = timer.nanoTime();
    List.copyOf(requesters.values()).stream()
        .filter(each -> now - each.heardNanos() > REQUESTER_TIMEOUT.toNanos())
        .forEach(
            silent -> {
              requesters.remove(silent.instance());
              drop(silent, "silent");
            });
  }

  private void drop(BrokerRequester requester, String cause) {
    int held = requester.size();
    requester.drop();
    if (held > 0) {
      events.record(
          EventType.REQUESTER_DROPPED,
          requester.instance().value(),
          Map.of("cause", cause, "requests", held));
    }
  }

  /**
   * Stops to place requests of others, so that each of them counts and places its own from now on.
   */
  void stop() {
    isStopped = true;
    requesters.forEach(
        (instance, requester) -> {
          requester.drop();
          sender.accept(instance, closed(requester.epoch()));
        });
    requesters.clear();
  }
}
