package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Membership;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.TimerService;

/**
 * Ledger of actions. An intent row is inserted into the platform's table before an action is
 * dispatched. While the row exists, no other request with the key is dispatched, unless the row was
 * released by this instance.
 */
public final class TableRequestLedger implements RequestLedger {
  /** Prefix of the keys of all intent rows. */
  static final String ROW_KEY_PREFIX = "intent/";

  /** Largest answer that is stored in a row. */
  private static final int MAX_ANSWER_BYTES = 64 * 1024;

  /** Length of a shard number in a row key, in hexadecimal digits: there are 65,536 shards. */
  private static final int SHARD_DIGITS = 4;

  private final LedgerContext context;
  private final ConsistentTable table;
  private final TableCircuitBreaker circuitBreaker;
  private final LocalIntents localIntents;
  private final IntentOutcomes outcomes;
  private final RandomGenerator random;

  private TableRequestLedger(
      LedgerContext context, Table table, RandomGenerator random, EventLog events) {
    this.context = context;
    this.table = new ConsistentTable(table, context.timer());
    this.circuitBreaker = TableCircuitBreaker.of(context.timer());
    this.localIntents = LocalIntents.of(context.timer());
    this.random = requireNonNull(random, "random");
    this.outcomes = new IntentOutcomes(this.table, localIntents, context.timer(), random, events);
  }

  /**
   * Creates the ledger of an instance.
   *
   * @param table the platform's table
   * @param membership view of the members
   * @param timer clock and timers
   * @param random source of row tokens; its sequence must differ between processes
   * @param events event log
   * @param settings retention times and timeouts
   * @return ledger
   */
  public static TableRequestLedger of(
      Table table,
      Membership membership,
      TimerService timer,
      RandomGenerator random,
      EventLog events,
      LedgerSettings settings) {
    LedgerContext context = new LedgerContext(membership, timer, settings);
    return new TableRequestLedger(context, table, random, events);
  }

  /**
   * Returns the row key of an action. It contains a shard number hashed from the key, so that
   * {@link IntentSweep} can scan one shard at a time.
   *
   * @param scopedKey key with its team
   * @return row key in the platform's table
   */
  static String rowKey(String scopedKey) {
    long hash = Hashing.komihash5_0().hashBytesToLong(scopedKey.getBytes(StandardCharsets.UTF_8));
    return ROW_KEY_PREFIX + shard((int) (hash & 0xffff)) + "/" + scopedKey;
  }

  /** Returns a shard number as it appears in row keys: four hexadecimal digits. */
  static String shard(int number) {
    String digits = Integer.toHexString(number);
    return "0".repeat(SHARD_DIGITS - digits.length()) + digits;
  }

  @Override
  public CompletableFuture<KeyState> claim(KeyedRequest request) {
    if (!circuitBreaker.tryAcquire()) {
      return failed(unavailable());
    }
    IntentRow intent = IntentRow.of(request, newToken(), context.timer().epochMillis());
    return insert(request, intent).thenCompose(result -> resolveClaim(request, intent, result));
  }

  private CompletableFuture<ConsistentTable.WriteOutcome> insert(
      KeyedRequest request, IntentRow intent) {
    return table.write(Write.insert(rowKey(request.scopedKey()), intent.toJson()), isRowOf(intent));
  }

  private CompletableFuture<KeyState> resolveClaim(
      KeyedRequest request, IntentRow intent, ConsistentTable.WriteOutcome written) {
    if (written.result() instanceof WriteResult.Applied applied) {
      circuitBreaker.recordSuccess();
      localIntents.add(
          request.id(),
          new LocalIntents.LocalIntent(intent, applied.version(), written.wasAmbiguous()));
      return CompletableFuture.completedFuture(new KeyState.Fresh());
    }
    if (written.result() instanceof WriteResult.Conflict conflict) {
      circuitBreaker.recordSuccess();
      return conflict
          .current()
          .map(row -> answerDuplicate(request, intent, row, written.wasAmbiguous()))
          .orElseGet(
              () ->
                  insert(request, intent)
                      .thenCompose(
                          next ->
                              resolveClaim(
                                  request,
                                  intent,
                                  next.withEarlierAmbiguity(written.wasAmbiguous()))));
    }
    boolean ambiguous = written.result() instanceof WriteResult.Ambiguous;
    cancelClaim(request, intent, ambiguous || written.wasAmbiguous());
    circuitBreaker.recordFailure();
    return failed(unavailable());
  }

  /** Marks a request as never dispatched; its insertion may still take effect. */
  private void cancelClaim(KeyedRequest request, IntentRow intent, boolean insertWasAmbiguous) {
    localIntents.markReleased(intent.token());
    if (insertWasAmbiguous) {
      outcomes.deleteLateInsert(rowKey(request.scopedKey()), intent);
    }
  }

  private CompletableFuture<KeyState> answerDuplicate(
      KeyedRequest request, IntentRow intent, Row row, boolean wasAmbiguous) {
    IntentRow found = IntentRow.parse(row.value()).orElse(null);
    if (found != null && isReleased(found)) {
      return table
          .write(Write.replace(row.key(), row.version(), intent.toJson()), isRowOf(intent))
          .thenCompose(
              result -> resolveClaim(request, intent, result.withEarlierAmbiguity(wasAmbiguous)));
    }
    cancelClaim(request, intent, wasAmbiguous);
    if (found == null) {
      return CompletableFuture.completedFuture(new KeyState.Unknown());
    }
    return found.fingerprint().equals(request.fingerprint())
        ? CompletableFuture.completedFuture(stateOf(found))
        : failed(
            Failure.notRun(
                FailureType.KEY_REUSED,
                "the idempotency key was already used for a different request"));
  }

  private KeyState stateOf(IntentRow row) {
    return switch (row.state()) {
      case RAN ->
          row.answer().<KeyState>map(KeyState.Ran::new).orElseGet(KeyState.RanWithoutAnswer::new);
      case UNKNOWN -> new KeyState.Unknown();
      case INTENT -> outcomes.unstoredOutcome(row.request()).orElseGet(() -> intentState(row));
    };
  }

  private KeyState intentState(IntentRow row) {
    InstanceId self = context.membership().view().self();
    boolean alive = context.isAlive(row.request());
    boolean unfinished =
        !row.request().instance().equals(self) || localIntents.find(row.request()).isPresent();
    return alive && unfinished ? new KeyState.InProgress() : new KeyState.Unknown();
  }

  @Override
  public CompletableFuture<Void> releaseNotRun(KeyedRequest request) {
    Optional<LocalIntents.LocalIntent> local = localIntents.find(request.id());
    if (local.isEmpty()) {
      return noLocalIntent(request);
    }
    localIntents.markReleased(local.get().row().token());
    localIntents.remove(request.id());
    return outcomes.delete(rowKey(request.scopedKey()), local.get());
  }

  @Override
  public CompletableFuture<Void> complete(KeyedRequest request, StoredAnswer answer) {
    boolean fits = RecordStore.answerBytes(answer) <= MAX_ANSWER_BYTES;
    return storeOutcome(
        request, IntentRow.State.RAN, fits ? Optional.of(answer) : Optional.empty());
  }

  @Override
  public CompletableFuture<Void> markUnknown(KeyedRequest request) {
    return storeOutcome(request, IntentRow.State.UNKNOWN, Optional.empty());
  }

  private CompletableFuture<Void> storeOutcome(
      KeyedRequest request, IntentRow.State state, Optional<StoredAnswer> answer) {
    Optional<LocalIntents.LocalIntent> local = localIntents.find(request.id());
    if (local.isEmpty()) {
      return noLocalIntent(request);
    }
    IntentRow row = local.get().row().withOutcome(state, answer);
    return outcomes.store(
        rowKey(request.scopedKey()),
        new LocalIntents.LocalIntent(row, local.get().version(), false));
  }

  @Override
  public CompletableFuture<KeyState> lookup(KeyedRequest request) {
    if (!circuitBreaker.tryAcquire()) {
      return failed(unavailable());
    }
    return table
        .read(rowKey(request.scopedKey()))
        .handle(
            (row, failure) -> {
              if (failure != null) {
                circuitBreaker.recordFailure();
                return this.<KeyState>failed(unavailable());
              }
              circuitBreaker.recordSuccess();
              return CompletableFuture.completedFuture(row.map(this::rowState).orElse(fresh()));
            })
        .thenCompose(state -> state);
  }

  private KeyState rowState(Row row) {
    Optional<IntentRow> found = IntentRow.parse(row.value());
    return found.filter(this::isReleased).isPresent()
        ? fresh()
        : found.map(this::stateOf).orElseGet(KeyState.Unknown::new);
  }

  private boolean isReleased(IntentRow row) {
    return row.state() == IntentRow.State.INTENT && localIntents.isReleased(row.token());
  }

  private static KeyState fresh() {
    return new KeyState.Fresh();
  }

  private Failure unavailable() {
    return ConsistentTable.unavailable().withRetryAfter(context.settings().retryAfter());
  }

  private String newToken() {
    return Long.toUnsignedString(random.nextLong(), Character.MAX_RADIX)
        + Long.toUnsignedString(random.nextLong(), Character.MAX_RADIX);
  }

  /**
   * Returns a predicate that tests whether a value in the table is a row with this token and state.
   */
  static Predicate<String> isRowOf(IntentRow intent) {
    return value ->
        IntentRow.parse(value)
            .filter(row -> row.token().equals(intent.token()) && row.state() == intent.state())
            .isPresent();
  }

  private <T> CompletableFuture<T> failed(Failure failure) {
    return CompletableFuture.failedFuture(failure.toException());
  }

  private static CompletableFuture<Void> noLocalIntent(KeyedRequest request) {
    return CompletableFuture.failedFuture(
        Failure.unknown(
                FailureType.INTERNAL,
                "no unfinished intent is recorded for request " + request.id())
            .toException());
  }
}
