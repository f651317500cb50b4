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
 * Ledger of actions: a row is inserted into the platform's table before an action is dispatched,
 * and a row without an outcome is never dispatched again.
 */
public final class TableRequestLedger implements RequestLedger {
  /** Start of the keys of all intent rows. */
  static final String PREFIX = "intent/";

  private static final int MAX_ANSWER_BYTES = 64 * 1024;
  private static final int SHARD_DIGITS = 4;

  private final LedgerContext context;
  private final StrongTable table;
  private final PlatformGate gate;
  private final OwnIntents own;
  private final IntentOutcomes outcomes;
  private final RandomGenerator random;

  private TableRequestLedger(
      LedgerContext context, Table table, RandomGenerator random, EventLog events) {
    this.context = context;
    this.table = new StrongTable(table, context.timer());
    this.gate = PlatformGate.of(context.timer());
    this.own = OwnIntents.of(context.timer());
    this.random = requireNonNull(random, "random");
    this.outcomes = new IntentOutcomes(this.table, own, context.timer(), random, events);
  }

  /**
   * Creates the ledger of an instance.
   *
   * @param table the platform's table
   * @param membership view of the members
   * @param timer time
   * @param random source of tokens; must differ between processes
   * @param events event log
   * @param settings times and limits
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
   * Returns the key of the row of an action; hashed digits spread the rows for the sweep.
   *
   * @param scopedKey key with its team
   * @return key in the platform's table
   */
  static String rowKey(String scopedKey) {
    long hash = Hashing.komihash5_0().hashBytesToLong(scopedKey.getBytes(StandardCharsets.UTF_8));
    return PREFIX + shard((int) (hash & 0xffff)) + "/" + scopedKey;
  }

  static String shard(int number) {
    String digits = Integer.toHexString(number);
    return "0".repeat(SHARD_DIGITS - digits.length()) + digits;
  }

  @Override
  public CompletableFuture<KeyState> claim(KeyedRequest request) {
    if (!gate.tryPass()) {
      return failed(unavailable());
    }
    IntentRow mine = IntentRow.of(request, newToken(), context.timer().epochMillis());
    return insert(request, mine).thenCompose(result -> judge(request, mine, result));
  }

  private CompletableFuture<StrongTable.Resolved> insert(KeyedRequest request, IntentRow mine) {
    return table.write(Write.insert(rowKey(request.scopedKey()), mine.toJson()), isOwn(mine));
  }

  private CompletableFuture<KeyState> judge(
      KeyedRequest request, IntentRow mine, StrongTable.Resolved written) {
    if (written.result() instanceof WriteResult.Applied applied) {
      gate.succeeded();
      own.hold(request.id(), new OwnIntents.Held(mine, applied.version(), written.doubted()));
      return CompletableFuture.completedFuture(new KeyState.Fresh());
    }
    if (written.result() instanceof WriteResult.Conflict conflict) {
      gate.succeeded();
      return conflict
          .current()
          .map(row -> repeat(request, mine, row, written.doubted()))
          .orElseGet(
              () ->
                  insert(request, mine)
                      .thenCompose(next -> judge(request, mine, next.after(written.doubted()))));
    }
    boolean ambiguous = written.result() instanceof WriteResult.Ambiguous;
    abandon(request, mine, ambiguous || written.doubted());
    gate.failed();
    return failed(unavailable());
  }

  /** Notes that a call will not be dispatched, whatever becomes of its insertion. */
  private void abandon(KeyedRequest request, IntentRow mine, boolean mayStillArrive) {
    own.release(mine.token());
    if (mayStillArrive) {
      outcomes.removeStray(rowKey(request.scopedKey()), mine);
    }
  }

  private CompletableFuture<KeyState> repeat(
      KeyedRequest request, IntentRow mine, Row row, boolean doubted) {
    IntentRow found = IntentRow.parse(row.value()).orElse(null);
    if (found != null && isReleased(found)) {
      return table
          .write(Write.replace(row.key(), row.version(), mine.toJson()), isOwn(mine))
          .thenCompose(result -> judge(request, mine, result.after(doubted)));
    }
    abandon(request, mine, doubted);
    if (found == null) {
      return CompletableFuture.completedFuture(new KeyState.Unknown());
    }
    return found.fingerprint().equals(request.fingerprint())
        ? CompletableFuture.completedFuture(stateOf(found))
        : failed(Failure.notRun(FailureType.KEY_REUSED, "the key belongs to another request"));
  }

  private KeyState stateOf(IntentRow row) {
    return switch (row.state()) {
      case RAN ->
          row.answer().<KeyState>map(KeyState.Ran::new).orElseGet(KeyState.RanWithoutAnswer::new);
      case UNKNOWN -> new KeyState.Unknown();
      case INTENT -> outcomes.pending(row.request()).orElseGet(() -> openState(row));
    };
  }

  private KeyState openState(IntentRow row) {
    InstanceId self = context.membership().view().self();
    boolean alive = context.isAlive(row.request());
    boolean open = !row.request().instance().equals(self) || own.find(row.request()).isPresent();
    return alive && open ? new KeyState.InProgress() : new KeyState.Unknown();
  }

  @Override
  public CompletableFuture<Void> releaseNotRun(KeyedRequest request) {
    Optional<OwnIntents.Held> held = own.find(request.id());
    if (held.isEmpty()) {
      return notHeld(request);
    }
    own.release(held.get().row().token());
    own.forget(request.id());
    return outcomes.delete(rowKey(request.scopedKey()), held.get());
  }

  @Override
  public CompletableFuture<Void> complete(KeyedRequest request, StoredAnswer answer) {
    boolean fits = RecordStore.bytesOf(answer) <= MAX_ANSWER_BYTES;
    return finish(request, IntentRow.State.RAN, fits ? Optional.of(answer) : Optional.empty());
  }

  @Override
  public CompletableFuture<Void> markUnknown(KeyedRequest request) {
    return finish(request, IntentRow.State.UNKNOWN, Optional.empty());
  }

  private CompletableFuture<Void> finish(
      KeyedRequest request, IntentRow.State state, Optional<StoredAnswer> answer) {
    Optional<OwnIntents.Held> held = own.find(request.id());
    if (held.isEmpty()) {
      return notHeld(request);
    }
    IntentRow row = held.get().row().withOutcome(state, answer);
    return outcomes.store(
        rowKey(request.scopedKey()), new OwnIntents.Held(row, held.get().version(), false));
  }

  @Override
  public CompletableFuture<KeyState> lookup(KeyedRequest request) {
    if (!gate.tryPass()) {
      return failed(unavailable());
    }
    return table
        .read(rowKey(request.scopedKey()))
        .handle(
            (row, failure) -> {
              if (failure != null) {
                gate.failed();
                return this.<KeyState>failed(unavailable());
              }
              gate.succeeded();
              return CompletableFuture.completedFuture(row.map(this::describe).orElse(fresh()));
            })
        .thenCompose(state -> state);
  }

  private KeyState describe(Row row) {
    Optional<IntentRow> found = IntentRow.parse(row.value());
    return found.filter(this::isReleased).isPresent()
        ? fresh()
        : found.map(this::stateOf).orElseGet(KeyState.Unknown::new);
  }

  private boolean isReleased(IntentRow row) {
    return row.state() == IntentRow.State.INTENT && own.isReleased(row.token());
  }

  private static KeyState fresh() {
    return new KeyState.Fresh();
  }

  private Failure unavailable() {
    return StrongTable.unavailable().withRetryAfter(context.settings().retryAfter());
  }

  private String newToken() {
    return Long.toUnsignedString(random.nextLong(), Character.MAX_RADIX)
        + Long.toUnsignedString(random.nextLong(), Character.MAX_RADIX);
  }

  static Predicate<String> isOwn(IntentRow mine) {
    return value ->
        IntentRow.parse(value)
            .filter(row -> row.token().equals(mine.token()) && row.state() == mine.state())
            .isPresent();
  }

  private <T> CompletableFuture<T> failed(Failure failure) {
    return CompletableFuture.failedFuture(failure.toException());
  }

  private static CompletableFuture<Void> notHeld(KeyedRequest request) {
    return CompletableFuture.failedFuture(
        Failure.unknown(FailureType.INTERNAL, "no intent is held for " + request.id())
            .toException());
  }
}
