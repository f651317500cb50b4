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
 * Key records in memory. Answers share a byte limit and are evicted when it is exceeded; records
 * are never evicted before their retention time has passed.
 */
final class RecordStore {
  private static final int MAX_ANSWER_BYTES = 256 * 1024;
  private static final long MAX_TOTAL_ANSWER_BYTES = 64L * 1024 * 1024;
  private static final int MAX_RECORDS = 500_000;
  private static final Duration SWEEP_PERIOD = Duration.ofSeconds(5);

  private final ConcurrentMap<String, KeyRecord> records = new ConcurrentHashMap<>();
  private final Cache<RequestId, StoredAnswer> answers =
      Caffeine.newBuilder()
          .maximumWeight(MAX_TOTAL_ANSWER_BYTES)
          .weigher((RequestId request, StoredAnswer answer) -> answerBytes(answer))
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

  static int answerBytes(StoredAnswer answer) {
    return answer.body().getBytes(StandardCharsets.UTF_8).length + answer.contentType().length();
  }

  static boolean isStorable(StoredAnswer answer) {
    return answerBytes(answer) <= MAX_ANSWER_BYTES;
  }

  boolean isFull() {
    return records.size() >= MAX_RECORDS;
  }

  Optional<KeyRecord> find(String key) {
    return Optional.ofNullable(records.get(key)).map(this::withStoredAnswer);
  }

  /** Adds a record if the key has none; returns the existing one otherwise. */
  Optional<KeyRecord> addIfAbsent(KeyRecord record) {
    return Optional.ofNullable(records.putIfAbsent(record.key(), storeAnswer(record)))
        .map(this::withStoredAnswer);
  }

  /**
   * Replaces the record of a released request, or adds one if the key has none. Returns the
   * existing record, unchanged, if it belongs to another request.
   */
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
    return Optional.ofNullable(other.get()).map(this::withStoredAnswer);
  }

  /**
   * Sets the record of a request whose claim was granted, and which is thus the only one of its key
   * that may be dispatched.
   */
  void put(KeyRecord record) {
    records.put(record.key(), storeAnswer(record));
  }

  /**
   * Applies an update of a request. A release removes the open claim of the request. Any other
   * update adds a record if the key has none, or replaces an earlier status of the same request;
   * only an update to {@link KeyRecord.Status#RAN} also replaces the record of another request,
   * unless that one ran as well.
   *
   * @return whether the update took effect
   */
  boolean update(KeyRecord update) {
    if (update.status() == KeyRecord.Status.RELEASED) {
      return removeClaim(update.key(), update.request());
    }
    KeyRecord stored = storeAnswer(update);
    KeyRecord result =
        records.merge(
            update.key(),
            stored,
            (current, changed) -> supersedes(changed, current) ? changed : current);
    return result.equals(stored);
  }

  /** Removes the claim of a request that will not be dispatched; returns whether it existed. */
  boolean removeClaim(String key, RequestId request) {
    KeyRecord current = records.get(key);
    return current != null
        && current.request().equals(request)
        && current.isOpen()
        && records.remove(key, current);
  }

  List<KeyRecord> all() {
    return records.values().stream().map(this::withStoredAnswer).toList();
  }

  private static boolean supersedes(KeyRecord changed, KeyRecord current) {
    return changed.request().equals(current.request())
        ? changed.status().compareTo(current.status()) > 0
        : changed.status() == KeyRecord.Status.RAN && current.status() != KeyRecord.Status.RAN;
  }

  private KeyRecord storeAnswer(KeyRecord record) {
    record
        .answer()
        .filter(RecordStore::isStorable)
        .ifPresent(answer -> answers.put(record.request(), answer));
    return record.answer().isEmpty() ? record : record.withAnswer(Optional.empty());
  }

  private KeyRecord withStoredAnswer(KeyRecord record) {
    return record.status() == KeyRecord.Status.RAN
        ? record.withAnswer(Optional.ofNullable(answers.getIfPresent(record.request())))
        : record;
  }

  private void sweep() {
    long oldestEpochMillis = timer.epochMillis() - retentionMillis;
    records
        .values()
        .removeIf(
            record ->
                !record.isOpen()
                    && record.changedAtEpochMillis() < oldestEpochMillis
                    && removeAnswer(record));
  }

  private boolean removeAnswer(KeyRecord record) {
    answers.invalidate(record.request());
    return true;
  }
}
