package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;
import org.snipewick.membership.Membership;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.time.TimerService;

/**
 * Deletes intent rows that are older than the retention time of actions, one shard of the row keys
 * at a time. Each shard is swept by one instance.
 */
public final class IntentSweep {
  private static final int SHARD_COUNT = 0x10000;

  /** One shard per period: a pass over all shards takes about 18 hours. */
  private static final Duration SWEEP_PERIOD = Duration.ofSeconds(1);

  /** Bounds the writes to the table per shard; the next pass deletes the remaining rows. */
  private static final int MAX_DELETIONS_PER_SWEEP = 20;

  private final Table table;
  private final LedgerContext context;
  private final AtomicInteger nextShard = new AtomicInteger();

  private IntentSweep(Table table, LedgerContext context) {
    this.table = requireNonNull(table, "table");
    this.context = context;
  }

  /**
   * Starts the sweep of an instance.
   *
   * @param table the platform's table
   * @param membership view of the members
   * @param timer clock and timers
   * @param settings retention times and timeouts
   * @return running sweep
   */
  public static IntentSweep start(
      Table table, Membership membership, TimerService timer, LedgerSettings settings) {
    IntentSweep sweep = new IntentSweep(table, new LedgerContext(membership, timer, settings));
    var unused = timer.every(SWEEP_PERIOD, sweep::sweepNext);
    return sweep;
  }

  private void sweepNext() {
    int shard = nextShard.getAndUpdate(number -> (number + 1) % SHARD_COUNT);
    String prefix = TableRequestLedger.ROW_KEY_PREFIX + TableRequestLedger.shard(shard) + "/";
    if (isResponsibleFor(prefix)) {
      var unused = table.scan(prefix).thenAccept(this::deleteExpired);
    }
  }

  /** Sweeps one shard immediately, whether or not this instance is responsible for it. */
  void sweep(String shard) {
    var unused =
        table.scan(TableRequestLedger.ROW_KEY_PREFIX + shard + "/").thenAccept(this::deleteExpired);
  }

  private boolean isResponsibleFor(String prefix) {
    MembershipView view = context.membership().view();
    List<FailureDomain> domains = List.copyOf(view.byDomain().keySet());
    boolean isHomeDomain =
        Rendezvous.first(prefix, domains, FailureDomain::value)
            .filter(view.localDomain()::equals)
            .isPresent();
    List<InstanceId> alive = view.aliveIn(view.localDomain()).stream().map(Member::id).toList();
    return isHomeDomain
        && context.membership().isActive()
        && Rendezvous.first(prefix, alive, InstanceId::value)
            .filter(view.self()::equals)
            .isPresent();
  }

  private void deleteExpired(List<Row> rows) {
    long oldestEpochMillis =
        context.timer().epochMillis() - context.settings().actionRetention().toMillis();
    rows.stream()
        .filter(row -> isCreatedBefore(row, oldestEpochMillis))
        .limit(MAX_DELETIONS_PER_SWEEP)
        .forEach(
            row -> {
              var unused = table.write(Write.delete(row.key(), row.version()));
            });
  }

  private static boolean isCreatedBefore(Row row, long oldestEpochMillis) {
    return IntentRow.parse(row.value())
        .filter(intent -> intent.createdAtEpochMillis() < oldestEpochMillis)
        .isPresent();
  }
}
