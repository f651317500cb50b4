package org.snipewick.broker;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.placement.AttemptResult;
import org.snipewick.placement.LocalPlacer;
import org.snipewick.placement.PlacementDecision;
import org.snipewick.placement.PlacementGrant;
import org.snipewick.placement.PlacementListener;
import org.snipewick.placement.WaitingRequest;
import org.snipewick.time.TimerService;

/** Requests of one instance at the broker, and the messages to it. Not thread-safe. */
final class BrokerRequester {
  private final InstanceId instance;
  private final long epoch;
  private final long session;
  private final LocalPlacer placer;
  private final TimerService timer;
  private final Consumer<BrokerMessages.FromBroker> sender;
  private final Map<Long, PoolName> waiting = new HashMap<>();
  private final Map<Long, HeldGrant> held = new HashMap<>();
  private List<BrokerMessages.Grant> grants = new ArrayList<>();
  private List<BrokerMessages.Refusal> refusals = new ArrayList<>();
  private List<Long> queued = new ArrayList<>();
  private boolean isFlushScheduled;
  private boolean isDropped;
  private long heardNanos;
  private boolean hasHeard;
  private long nextSequence;
  private long nextSentSequence;

  BrokerRequester(
      InstanceId instance,
      long epoch,
      long session,
      LocalPlacer placer,
      TimerService timer,
      Consumer<BrokerMessages.FromBroker> sender) {
    this.instance = requireNonNull(instance, "instance");
    this.epoch = epoch;
    this.session = session;
    this.placer = requireNonNull(placer, "placer");
    this.timer = requireNonNull(timer, "timer");
    this.sender = requireNonNull(sender, "sender");
    this.heardNanos = timer.nanoTime();
  }

  /** Grant of a request that has not ended. */
  private record HeldGrant(PoolName pool, PlacementGrant grant) {}

  InstanceId instance() {
    return instance;
  }

  long epoch() {
    return epoch;
  }

  /**
   * Returns whether no message is missing before this one. The end of a request may have been in a
   * lost one, so that its slot would never become free.
   */
  boolean isContinuedBy(BrokerMessages.ToBroker message) {
    return message.epoch() == epoch && (!hasHeard || message.sequence() == nextSequence);
  }

  /** Returns when the latest message arrived, in monotonic nanoseconds. */
  long heardNanos() {
    return heardNanos;
  }

  /** Returns the number of requests that wait or run. */
  int size() {
    return waiting.size() + held.size();
  }

  /** Applies all but the requests of a message; returns the pools in which slots became free. */
  Set<PoolName> applyNews(BrokerMessages.ToBroker message) {
    long now = timer.nanoTime();
    heardNanos = now;
    hasHeard = true;
    nextSequence = message.sequence() + 1;
    Set<PoolName> freed = new HashSet<>();
    for (BrokerMessages.Progress progress : message.progress()) {
      HeldGrant running = held.get(progress.id());
      if (running != null) {
        applyLoad(running, progress.load(), now);
        running.grant().endPrefill();
      }
    }
    for (BrokerMessages.End end : message.ends()) {
      HeldGrant ended = held.remove(end.id());
      if (ended != null) {
        applyEnd(ended, end, now);
        freed.add(ended.pool());
      }
    }
    for (Long id : message.withdrawn()) {
      withdraw(id, now).ifPresent(freed::add);
    }
    return freed;
  }

  private static void applyLoad(HeldGrant running, List<BrokerMessages.Load> load, long nowNanos) {
    load.forEach(each -> running.grant().updateReportedLoad(each.toReportedLoad(), nowNanos));
  }

  private static void applyEnd(HeldGrant ended, BrokerMessages.End end, long nowNanos) {
    applyLoad(ended, end.load(), nowNanos);
    if (end.pauseMillis() > 0) {
      ended.grant().pause(Duration.ofMillis(end.pauseMillis()), nowNanos);
    }
    if (end.nanosPerUnit() > 0) {
      ended.grant().recordServiceTime(end.nanosPerUnit(), nowNanos);
    }
    ended.grant().end(end.result(), nowNanos);
  }

  /** Returns the pool in which a slot became free, because the grant had not arrived yet. */
  private Optional<PoolName> withdraw(long id, long nowNanos) {
    PoolName pool = waiting.remove(id);
    if (pool != null) {
      placer.withdraw(pool, waitingId(id));
    }
    HeldGrant unused = held.remove(id);
    if (unused == null) {
      return Optional.empty();
    }
    unused.grant().end(AttemptResult.CANCELLED, nowNanos);
    return Optional.of(unused.pool());
  }

  private String waitingId(long id) {
    return instance.value() + "/" + id;
  }

  /** Queues a request; the decision about it is sent to the requester. */
  void enqueue(BrokerMessages.PlacementRequest request) {
    long now = timer.nanoTime();
    waiting.put(request.id(), request.pool());
    placer.enqueue(
        request.pool(),
        new WaitingRequest(
                waitingId(request.id()),
                request.tier(),
                now - TimeUnit.MILLISECONDS.toNanos(request.ageMillis()),
                now + TimeUnit.MILLISECONDS.toNanos(request.onTimeMillis()),
                now + TimeUnit.MILLISECONDS.toNanos(request.usefulMillis()),
                request.promptTokens(),
                request.tried())
            .withTeam(request.team()),
        new DecisionSender(request));
  }

  /** Tells the requester which requests of a message wait, or that the message has arrived. */
  void acknowledge(BrokerMessages.ToBroker message) {
    message.requests().stream()
        .map(BrokerMessages.PlacementRequest::id)
        .filter(waiting::containsKey)
        .forEach(queued::add);
    if (message.isReplyExpected()) {
      scheduleFlush();
    }
  }

  private void scheduleFlush() {
    if (!isFlushScheduled) {
      isFlushScheduled = true;
      timer.after(Duration.ZERO, this::flush);
    }
  }

  private void flush() {
    isFlushScheduled = false;
    if (!isDropped) {
      final BrokerMessages.FromBroker message =
          new BrokerMessages.FromBroker(
              epoch, session, nextSentSequence++, grants, refusals, queued);
      grants = new ArrayList<>();
      refusals = new ArrayList<>();
      queued = new ArrayList<>();
      sender.accept(message);
    }
  }

  /** Withdraws all waiting requests and frees the slots of all running ones. */
  void drop() {
    isDropped = true;
    long now = timer.nanoTime();
    waiting.forEach((id, pool) -> placer.withdraw(pool, waitingId(id)));
    waiting.clear();
    held.values().forEach(each -> each.grant().end(AttemptResult.CANCELLED, now));
    held.clear();
  }

  /** Sends the decision about one request. */
  private final class DecisionSender implements PlacementListener {
    private final long id;
    private final PoolName pool;

    private DecisionSender(BrokerMessages.PlacementRequest request) {
      this.id = request.id();
      this.pool = request.pool();
    }

    @Override
    public void onPlaced(PlacementDecision.Placed placed, PlacementGrant grant) {
      if (isDropped || waiting.remove(id) == null) {
        grant.end(AttemptResult.CANCELLED, timer.nanoTime());
        return;
      }
      held.put(id, new HeldGrant(pool, grant));
      grants.add(
          new BrokerMessages.Grant(
              id,
              placed.endpoint().id(),
              placed.inFlight(),
              placed.waiting(),
              placer.pool(pool).needsPermit(placed.endpoint().id())));
      scheduleFlush();
    }

    @Override
    public void onRefused(PlacementDecision.Refused refused) {
      if (waiting.remove(id) != null) {
        refusals.add(
            new BrokerMessages.Refusal(id, refused.reason(), refused.retryAfter().toMillis()));
        scheduleFlush();
      }
    }
  }
}
