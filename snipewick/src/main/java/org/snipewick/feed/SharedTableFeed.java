package org.snipewick.feed;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.snipewick.identity.InstanceId;
import org.snipewick.store.EraTracker;
import org.snipewick.store.Proven;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.store.TableFeed;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/**
 * Feed of a table from a reader, or from the store where there is none to follow. Decides when the
 * store is called instead of a reader. All rows are always read from the store. Not thread-safe; at
 * most one call may be in flight.
 */
final class SharedTableFeed implements TableFeed {
  private final String table;
  private final FeedSchedule schedule;
  private final TableFeed store;
  private final ReaderPeers peers;
  private final ServedTable served;
  private final TimerService timer;
  private final FeedMetrics metrics;
  private Optional<Moment> provenAt = Optional.empty();
  private Optional<Long> changedNanos = Optional.empty();
  private Optional<ReaderCall> inFlight = Optional.empty();
  private Optional<InstanceId> proofReader = Optional.empty();
  private long proofNumber;
  private long era = EraTracker.NO_ERA;

  SharedTableFeed(
      String table,
      FeedSchedule schedule,
      TableFeed store,
      ReaderPeers peers,
      ServedTable served,
      TimerService timer,
      FeedMetrics metrics) {
    this.table = requireNonNull(table, "table");
    this.schedule = requireNonNull(schedule, "schedule");
    this.store = requireNonNull(store, "store");
    this.peers = requireNonNull(peers, "peers");
    this.served = requireNonNull(served, "served");
    this.timer = requireNonNull(timer, "timer");
    this.metrics = requireNonNull(metrics, "metrics");
    peers.onSuspended(
        reader ->
            inFlight
                .filter(call -> call.reader.equals(reader))
                .ifPresent(call -> call.fail("suspended because of another table")));
    metrics.addProofAge(table, () -> provenAt.map(moment -> ageOf(moment).toMillis()).orElse(-1L));
  }

  @Override
  public CompletableFuture<Proven<RowPage>> read(Optional<String> after) {
    metrics.countStoreCall();
    return store
        .read(after)
        .whenComplete(
            (page, thrown) -> {
              if (thrown != null) {
                served.recordFailure();
              } else if (after.isEmpty()) {
                proofReader = Optional.empty();
                era = page.value().era();
                served.recordRows(page.value(), page.provenAt());
                recordProof(page.provenAt());
              }
            });
  }

  @Override
  public CompletableFuture<Proven<RowChanges>> changes(long version, Duration maxWait) {
    Optional<InstanceId> reader = peers.readerToFollow();
    if (reader.isPresent()) {
      return follow(reader.get(), version);
    }
    Duration wait = peers.isReader() ? schedule.readerWait() : maxWait;
    return afterPause(() -> changesFromStore(version, wait));
  }

  /** Delays a poll of the store until the pause since the last change there is over. */
  private <T> CompletableFuture<T> afterPause(Supplier<CompletableFuture<T>> call) {
    long pauseNanos =
        changedNanos
            .map(nanos -> nanos + schedule.polls().pauseAfterChange().toNanos() - timer.nanoTime())
            .orElse(0L);
    if (pauseNanos <= 0) {
      return call.get();
    }
    CompletableFuture<Void> pause = new CompletableFuture<>();
    timer.after(Duration.ofNanos(pauseNanos), () -> pause.complete(null));
    return pause.thenCompose(ended -> call.get());
  }

  private CompletableFuture<Proven<RowChanges>> changesFromStore(long version, Duration wait) {
    metrics.countStoreCall();
    return store
        .changes(version, wait)
        .whenComplete(
            (changes, thrown) -> {
              if (thrown == null) {
                recordStoreChanges(version, changes);
              } else {
                served.recordFailure();
              }
            });
  }

  /** The store has confirmed the version, so no earlier proof of a reader matters any more. */
  private void recordStoreChanges(long version, Proven<RowChanges> changes) {
    proofReader = Optional.empty();
    served.recordChanges(version, changes.value(), changes.provenAt());
    if (changes.value() instanceof RowChanges.Delta delta) {
      recordProof(changes.provenAt());
      if (!delta.written().isEmpty() || !delta.removedKeys().isEmpty()) {
        changedNanos = Optional.of(timer.nanoTime());
      }
    }
  }

  private void recordProof(Moment moment) {
    if (provenAt.isEmpty() || moment.monotonicNanos() - provenAt.get().monotonicNanos() > 0) {
      provenAt = Optional.of(moment);
    }
  }

  private Duration ageOf(Moment moment) {
    return Moment.now(timer).since(moment);
  }

  private CompletableFuture<Proven<RowChanges>> follow(InstanceId reader, long version) {
    Duration untilTooOld =
        provenAt
            .map(moment -> schedule.maxProofAge().minus(ageOf(moment)))
            .orElse(schedule.replyTimeout());
    if (untilTooOld.isNegative() || untilTooOld.isZero()) {
      metrics.countFallback();
      return changesFromStore(version, Duration.ZERO);
    }
    ReaderCall call = new ReaderCall(reader, version);
    inFlight = Optional.of(call);
    call.start(
        untilTooOld.compareTo(schedule.replyTimeout()) < 0 ? untilTooOld : schedule.replyTimeout());
    return call.result;
  }

  /** A query to a reader, which the store answers in its place if the reader does not. */
  private final class ReaderCall {
    private final InstanceId reader;
    private final FeedMessages.Query query;
    private final Moment sentAt = Moment.now(timer);
    private final CompletableFuture<Proven<RowChanges>> result = new CompletableFuture<>();
    private TimerService.Subscription timeout = () -> {};
    private boolean isEnded;

    ReaderCall(InstanceId reader, long version) {
      this.reader = reader;
      this.query = query(version, schedule.followerWait());
    }

    private FeedMessages.Query query(long version, Duration wait) {
      long knownProof = proofReader.filter(reader::equals).isPresent() ? proofNumber : 0;
      return new FeedMessages.Query(table, version, wait.toMillis(), knownProof, era);
    }

    void start(Duration maxDuration) {
      timeout = timer.after(maxDuration, () -> fail("no newer proof in time"));
      peers.query(reader, query, schedule.replyTimeout(), this::onReply);
    }

    private void onReply(Optional<FeedMessages.Reply> received) {
      if (isEnded) {
        return;
      }
      if (received.isEmpty()) {
        fail("no reply");
        return;
      }
      FeedMessages.Reply reply = received.get();
      if (reply.status() != FeedMessages.Status.CHANGES) {
        fail("replied " + reply.status());
      } else if (reply.era() != query.era() || reply.version() < query.version()) {
        fail("changes are not in the history of this instance");
      } else if (reply.proofOffset().compareTo(Moment.now(timer).offsetFrom(sentAt)) > 0) {
        fail("proof is later than its receipt");
      } else {
        accept(reply);
      }
    }

    private void accept(FeedMessages.Reply reply) {
      end();
      proofReader = Optional.of(reader);
      proofNumber = reply.proofNumber();
      Moment proven = sentAt.plus(reply.proofOffset());
      recordProof(proven);
      result.complete(new Proven<>(reply.delta(), proven));
    }

    /** Suspends the reader and calls the store instead. */
    void fail(String detail) {
      if (isEnded) {
        return;
      }
      end();
      metrics.countFallback();
      peers.suspend(reader, detail, query(query.version(), Duration.ZERO));
      changesFromStore(query.version(), Duration.ZERO)
          .whenComplete(
              (changes, thrown) -> {
                if (thrown == null) {
                  result.complete(changes);
                } else {
                  result.completeExceptionally(thrown);
                }
              });
    }

    private void end() {
      isEnded = true;
      timeout.cancel();
      inFlight = Optional.empty();
    }
  }
}
