package org.snipewick.broker;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.snipewick.identity.InstanceId;
import org.snipewick.placement.WaitingRequest;
import org.snipewick.time.TimerService;

/**
 * What this instance has asked one broker for and was granted, and the messages to it. Not
 * thread-safe.
 */
final class BrokerLink {
  private final InstanceId broker;
  private final TimerService timer;
  private final RandomGenerator random;
  private final Consumer<BrokerMessages.ToBroker> sender;
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final Map<Long, BrokeredGrant> grants = new HashMap<>();
  private List<BrokerMessages.PlacementRequest> requests = new ArrayList<>();
  private List<BrokerMessages.Progress> progress = new ArrayList<>();
  private List<BrokerMessages.End> ends = new ArrayList<>();
  private List<Long> withdrawn = new ArrayList<>();
  private long epoch;
  private long session = BrokerMessages.NO_SESSION;
  private long nextSequence;
  private long nextSentSequence;
  private boolean isFlushScheduled;
  private boolean isReplyWanted;
  private boolean isAwaitingReply;
  private boolean isSuspected;
  private boolean isRenewalUnconfirmed;
  private long renewedNanos;
  private long awaitingSinceNanos;
  private long queriedNanos;

  BrokerLink(
      InstanceId broker,
      TimerService timer,
      RandomGenerator random,
      Consumer<BrokerMessages.ToBroker> sender) {
    this.broker = requireNonNull(broker, "broker");
    this.timer = requireNonNull(timer, "timer");
    this.random = requireNonNull(random, "random");
    this.sender = requireNonNull(sender, "sender");
    this.epoch = random.nextLong();
    this.queriedNanos = timer.nanoTime();
  }

  InstanceId broker() {
    return broker;
  }

  long epoch() {
    return epoch;
  }

  /** Returns whether a request is pending or running. */
  boolean isUsed() {
    return !pending.isEmpty() || !grants.isEmpty();
  }

  /** Returns whether the broker may count requests of this instance, even if none runs any more. */
  boolean hasSession() {
    return session != BrokerMessages.NO_SESSION;
  }

  boolean hasPending() {
    return !pending.isEmpty();
  }

  /** Returns whether the broker has not replied in time since its latest message. */
  boolean isSuspected() {
    return isSuspected;
  }

  void suspect() {
    isSuspected = true;
  }

  /** Returns for how long a reply has been awaited, in nanoseconds; 0 if none is. */
  long silentNanos() {
    return isAwaitingReply ? timer.nanoTime() - awaitingSinceNanos : 0;
  }

  /** Returns the time since the latest message that the broker must reply to, in nanoseconds. */
  long sinceQueryNanos() {
    return timer.nanoTime() - queriedNanos;
  }

  /** Asks the broker to place a request. */
  void ask(PendingRequest asked) {
    WaitingRequest request = asked.request();
    long now = timer.nanoTime();
    pending.put(asked.id(), asked);
    requests.add(
        new BrokerMessages.PlacementRequest(
            asked.id(),
            asked.pool(),
            request.tier(),
            request.team(),
            TimeUnit.NANOSECONDS.toMillis(now - request.arrivedNanos()),
            TimeUnit.NANOSECONDS.toMillis(request.onTimeUntilNanos() - now),
            TimeUnit.NANOSECONDS.toMillis(request.latestResponseStartNanos() - now),
            request.promptTokens(),
            request.triedEndpoints()));
    query();
  }

  /** Sends a message that the broker must reply to. */
  void query() {
    isReplyWanted = true;
    long now = timer.nanoTime();
    queriedNanos = now;
    if (!isAwaitingReply) {
      isAwaitingReply = true;
      awaitingSinceNanos = now;
    }
    scheduleFlush();
  }

  /** Withdraws a request that is pending; returns whether it was. */
  boolean withdraw(PendingRequest request) {
    request.stopReplyTimer();
    if (pending.remove(request.id()) == null) {
      return false;
    }
    if (!requests.removeIf(unsent -> unsent.id() == request.id())) {
      withdrawn.add(request.id());
      scheduleFlush();
    }
    return true;
  }

  /** Removes and returns a request that the broker has decided about; empty if not pending. */
  Optional<PendingRequest> takePending(long id) {
    Optional<PendingRequest> decided = Optional.ofNullable(pending.remove(id));
    decided.ifPresent(PendingRequest::stopReplyTimer);
    return decided;
  }

  void confirmQueued(long id) {
    Optional.ofNullable(pending.get(id)).ifPresent(PendingRequest::stopReplyTimer);
  }

  void begin(BrokeredGrant grant) {
    grants.put(grant.id(), grant);
  }

  void sendProgress(BrokerMessages.Progress news) {
    progress.add(news);
    scheduleFlush();
  }

  /** Reports the end of a request. */
  void end(BrokeredGrant grant, BrokerMessages.End end) {
    grants.remove(grant.id());
    ends.add(end);
    scheduleFlush();
  }

  /** Returns a grant that is not used, as its request was placed otherwise. */
  void returnUnused(long id) {
    ends.add(BrokerMessages.End.cancelled(id));
    scheduleFlush();
  }

  /** What a message of the broker shows about those before it. */
  enum Continuity {
    /** It follows the one before it. */
    COMPLETE,
    /** Messages between the two were lost. */
    MESSAGES_LOST,
    /** The broker has forgotten what it granted before. */
    FORGOTTEN
  }

  /** Records that a message of the broker has arrived. */
  Continuity onReply(BrokerMessages.FromBroker reply) {
    isAwaitingReply = false;
    isSuspected = false;
    isRenewalUnconfirmed = false;
    final boolean isNew = session != reply.session();
    final boolean isFirst = session == BrokerMessages.NO_SESSION;
    final boolean isNext = reply.sequence() == (isNew ? 0 : nextSequence);
    session = reply.session();
    nextSequence = reply.sequence() + 1;
    if (isNew && !isFirst) {
      return Continuity.FORGOTTEN;
    }
    return isNext ? Continuity.COMPLETE : Continuity.MESSAGES_LOST;
  }

  /** Counts all running requests at this instance; returns their number. */
  int adoptGrants() {
    int count = grants.size();
    grants.values().forEach(BrokeredGrant::adopt);
    grants.clear();
    return count;
  }

  /** Removes and returns all pending requests, which the broker may still place in vain. */
  List<PendingRequest> takeAllPending() {
    List<PendingRequest> taken = List.copyOf(pending.values());
    taken.forEach(this::withdraw);
    return taken;
  }

  /**
   * Gives up all that the broker may hold for this instance. The next message states so by another
   * epoch.
   */
  void renew() {
    epoch = random.nextLong();
    session = BrokerMessages.NO_SESSION;
    nextSentSequence = 0;
    isAwaitingReply = false;
    isRenewalUnconfirmed = true;
    renewedNanos = timer.nanoTime();
    requests.clear();
    progress.clear();
    ends.clear();
    withdrawn.clear();
  }

  /** Stops to await a reply, so that silence counts from the next query. */
  void stopAwaiting() {
    isAwaitingReply = false;
  }

  /** Returns whether the broker may still count what this instance counts itself since then. */
  boolean isRenewing() {
    return isRenewalUnconfirmed
        && timer.nanoTime() - renewedNanos < Broker.REQUESTER_TIMEOUT.toNanos();
  }

  private void scheduleFlush() {
    if (!isFlushScheduled) {
      isFlushScheduled = true;
      timer.after(Duration.ZERO, this::flush);
    }
  }

  private void flush() {
    isFlushScheduled = false;
    final BrokerMessages.ToBroker message =
        new BrokerMessages.ToBroker(
            epoch, nextSentSequence++, isReplyWanted, requests, progress, ends, withdrawn);
    isReplyWanted = false;
    requests = new ArrayList<>();
    progress = new ArrayList<>();
    ends = new ArrayList<>();
    withdrawn = new ArrayList<>();
    sender.accept(message);
  }
}
