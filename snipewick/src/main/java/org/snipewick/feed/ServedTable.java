package org.snipewick.feed;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/**
 * Replies of a reader to queries for one table, from the responses to its own reads. At most one
 * query of each follower waits. Not thread-safe.
 */
final class ServedTable {
  /** Longer than any wait of a follower of this version. */
  private static final long MAX_WAIT_MILLIS = 15_000;

  private final TimerService timer;
  private final FeedMetrics metrics;
  private final ChangeLog log = new ChangeLog();
  private final Map<InstanceId, WaitingQuery> waiting = new HashMap<>();
  private boolean isServing;
  private boolean isUnavailable;

  ServedTable(TimerService timer, FeedMetrics metrics) {
    this.timer = requireNonNull(timer, "timer");
    this.metrics = requireNonNull(metrics, "metrics");
  }

  private record WaitingQuery(
      FeedMessages.Query query,
      Moment arrivedAt,
      CompletableFuture<PeerMessage> reply,
      TimerService.Subscription end) {}

  /** Sets whether this instance is a reader. */
  void setServing(boolean serving) {
    isServing = serving;
    replyToWaiting();
  }

  /** Records a read of all rows. */
  void recordRows(RowPage page, Moment provenAt) {
    isUnavailable = false;
    log.reset(page.version(), page.era(), provenAt);
    replyToWaiting();
  }

  /** Records the response to a read of the changes since a version. */
  void recordChanges(long since, RowChanges changes, Moment provenAt) {
    isUnavailable = false;
    if (changes instanceof RowChanges.Delta delta && delta.era() == log.era()) {
      log.append(since, delta, provenAt);
    } else {
      log.clear();
    }
    replyToWaiting();
  }

  /** Records that a read failed. */
  void recordFailure() {
    isUnavailable = true;
    replyToWaiting();
  }

  /** Handles a query; replies at once if there is something newer, otherwise when there is. */
  CompletableFuture<PeerMessage> receive(InstanceId from, FeedMessages.Query query) {
    Moment arrivedAt = Moment.now(timer);
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    Optional<FeedMessages.Reply> immediate = replyTo(query, arrivedAt);
    if (immediate.isPresent() || query.waitMillis() <= 0) {
      send(immediate.orElseGet(() -> replyAtEnd(query, arrivedAt)), reply);
      return reply;
    }
    supersede(from);
    Duration wait = Duration.ofMillis(Math.min(MAX_WAIT_MILLIS, query.waitMillis()));
    waiting.put(
        from, new WaitingQuery(query, arrivedAt, reply, timer.after(wait, () -> endWait(from))));
    return reply;
  }

  /**
   * Ends the wait of a query that its follower no longer waits for. A reply with changes would make
   * two processes under one name query in turn without pause.
   */
  private void supersede(InstanceId follower) {
    WaitingQuery earlier = waiting.remove(follower);
    if (earlier != null) {
      earlier.end().cancel();
      send(FeedMessages.Reply.of(FeedMessages.Status.BEHIND), earlier.reply());
    }
  }

  private void endWait(InstanceId follower) {
    WaitingQuery ended = waiting.remove(follower);
    if (ended != null) {
      ended.end().cancel();
      send(replyAtEnd(ended.query(), ended.arrivedAt()), ended.reply());
    }
  }

  private void replyToWaiting() {
    for (Map.Entry<InstanceId, WaitingQuery> entry : List.copyOf(waiting.entrySet())) {
      WaitingQuery query = entry.getValue();
      replyTo(query.query(), query.arrivedAt())
          .ifPresent(
              reply -> {
                waiting.remove(entry.getKey(), query);
                query.end().cancel();
                send(reply, query.reply());
              });
    }
  }

  private void send(FeedMessages.Reply reply, CompletableFuture<PeerMessage> receiver) {
    metrics.countServed();
    receiver.complete(reply);
  }

  /** Returns the reply to send now; empty if the query is to wait. */
  private Optional<FeedMessages.Reply> replyTo(FeedMessages.Query query, Moment arrivedAt) {
    if (!isServing) {
      return Optional.of(FeedMessages.Reply.of(FeedMessages.Status.NOT_READER));
    }
    if (isUnavailable) {
      return Optional.of(FeedMessages.Reply.of(FeedMessages.Status.UNAVAILABLE));
    }
    boolean isOfLostHistory =
        query.proofNumber() != 0 && query.proofNumber() < log.firstProofNumber();
    if (isOfLostHistory || query.era() != log.era()) {
      return Optional.of(FeedMessages.Reply.of(FeedMessages.Status.HISTORY_LOST));
    }
    if (query.version() > log.version()) {
      return Optional.empty();
    }
    FeedMessages.Reply reply = replyWithChanges(query, arrivedAt);
    boolean isNewer =
        reply.status() != FeedMessages.Status.CHANGES
            || !reply.written().isEmpty()
            || !reply.removedKeys().isEmpty()
            || log.proofNumber() != query.proofNumber();
    return isNewer ? Optional.of(reply) : Optional.empty();
  }

  private FeedMessages.Reply replyAtEnd(FeedMessages.Query query, Moment arrivedAt) {
    return query.version() > log.version()
        ? FeedMessages.Reply.of(FeedMessages.Status.BEHIND)
        : replyWithChanges(query, arrivedAt);
  }

  private FeedMessages.Reply replyWithChanges(FeedMessages.Query query, Moment arrivedAt) {
    Optional<RowChanges.Delta> delta = log.since(query.version());
    Optional<Moment> provenAt = log.provenAt();
    if (delta.isEmpty() || provenAt.isEmpty()) {
      return FeedMessages.Reply.of(FeedMessages.Status.HISTORY_LOST);
    }
    return FeedMessages.Reply.of(
        delta.get(), provenAt.get().offsetFrom(arrivedAt), log.proofNumber());
  }
}
