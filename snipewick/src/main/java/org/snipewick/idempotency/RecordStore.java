package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.identity.RequestId;
import org.snipewick.time.TimerService;

/**
 * Records of keys in memory. Answers are held within a limit of bytes and given up first; records
 * themselves are never given up before their time.
 */
final class RecordStore {
  private static final int MAX_ANSWER_BYTES = 256 * 1024;
  private static final long MAX_ALL_ANSWERS_BYTES = 64L * 1024 * 1024;
  private static final int MAX_RECORDS = 500_000;
  private static final Duration SWEEP_PERIOD = Duration.ofSeconds(5);

  private final ConcurrentMap<String, KeyRecord> records = new ConcurrentHashMap<>();
  private final Cache<RequestId, StoredAnswer> answers =
      Caffeine.newBuilder()
          .maximumWeight(MAX_ALL_ANSWERS_BYTES)
          .weigher((RequestId request, StoredAnswer answer) -> bytesOf(answer))
          .executor(Runnable::run)
          .build();
  private final TimerService timer;
  private final long retentionMillis;

  private RecordStore(TimerService timer, Duration retention) {
    this.timer = requireNonNull(timer, "timer");
    this.retentionMillis = retention.toMillis();
  }

  static RecordStore of(TimerService timer, Duration retention) {
    RecordStore store = new RecordStore(timer, retention);
    var unused = timer.every(SWEEP_PERIOD, store::sweep);
    return store;
  }

  static int bytesOf(StoredAnswer answer) {
    return answer.body().getBytes(StandardCharsets.UTF_8).length + answer.contentType().length();
  }

  static boolean isHeld(StoredAnswer answer) {
    return bytesOf(answer) <= MAX_ANSWER_BYTES;
  }

  boolean isFull() {
    return records.size() >= MAX_RECORDS;
  }

  Optional<KeyRecord> find(String key) {
    return Optional.ofNullable(records.get(key)).map(this::withHeldAnswer);
  }

  /** Adds a record if there is none; returns the one that was there. */
  Optional<KeyRecord> addIfAbsent(KeyRecord record) {
    return Optional.ofNullable(records.putIfAbsent(record.key(), holdAnswer(record)))
        .map(this::withHeldAnswer);
  }

  /** Replaces the record of a released call; returns another record if that stands instead. */
  Optional<KeyRecord> replaceReleased(RequestId released, KeyRecord record) {
    AtomicReference<KeyRecord> other = new AtomicReference<>();
    records.compute(
        record.key(),
        (key, current) -> {
          if (current == null || current.request().equals(released)) {
            return record;
          }
          other.set(current);
          return current;
        });
    return Optional.ofNullable(other.get()).map(this::withHeldAnswer);
  }

  /** Sets the record of a call whose claim is known to be the only one. */
  void put(KeyRecord record) {
    records.put(record.key(), holdAnswer(record));
  }

  /**
   * Takes an update of a call, unless another call holds the key or more is known already.
   *
   * @return whether it took effect
   */
  boolean update(KeyRecord update) {
    if (update.status() == KeyRecord.Status.RELEASED) {
      return removeClaim(update.key(), update.request());
    }
    KeyRecord kept = holdAnswer(update);
    KeyRecord result =
        records.merge(
            update.key(),
            kept,
            (current, changed) -> outweighs(changed, current) ? changed : current);
    return result.equals(kept);
  }

  /** Removes the claim of a call that will not be dispatched. */
  boolean removeClaim(String key, RequestId request) {
    KeyRecord current = records.get(key);
    return current != null
        && current.request().equals(request)
        && current.isOpen()
        && records.remove(key, current);
  }

  List<KeyRecord> all() {
    return records.values().stream().map(this::withHeldAnswer).toList();
  }

  private static boolean outweighs(KeyRecord changed, KeyRecord current) {
    return changed.request().equals(current.request())
        ? changed.status().compareTo(current.status()) > 0
        : changed.status() == KeyRecord.Status.RAN && current.status() != KeyRecord.Status.RAN;
  }

  private KeyRecord holdAnswer(KeyRecord record) {
    record
        .answer()
        .filter(RecordStore::isHeld)
        .ifPresent(answer -> answers.put(record.request(), answer));
    return record.answer().isEmpty() ? record : record.withAnswer(Optional.empty());
  }

  private KeyRecord withHeldAnswer(KeyRecord record) {
    return record.status() == KeyRecord.Status.RAN
        ? record.withAnswer(Optional.ofNullable(answers.getIfPresent(record.request())))
        : record;
  }

  private void sweep() {
    long oldest = timer.epochMillis() - retentionMillis;
    records
        .values()
        .removeIf(
            record ->
                !record.isOpen() && record.changedAtEpochMillis() < oldest && forgetAnswer(record));
  }

  private boolean forgetAnswer(KeyRecord record) {
    answers.invalidate(record.request());
    return true;
  }
}
