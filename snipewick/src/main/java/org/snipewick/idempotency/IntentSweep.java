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
 * Deletes rows of actions that are older than their retention, one shard of the keys at a time;
 * each shard is swept by one instance.
 */
public final class IntentSweep {
  private static final int SHARDS = 0x10000;
  private static final Duration PERIOD = Duration.ofSeconds(1);
  private static final int MAX_DELETIONS = 20;

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
   * @param timer time
   * @param settings times and limits
   * @return running sweep
   */
  public static IntentSweep start(
      Table table, Membership membership, TimerService timer, LedgerSettings settings) {
    IntentSweep sweep = new IntentSweep(table, new LedgerContext(membership, timer, settings));
    var unused = timer.every(PERIOD, sweep::sweepNext);
    return sweep;
  }

  private void sweepNext() {
    int shard = nextShard.getAndUpdate(number -> (number + 1) % SHARDS);
    String prefix = TableRequestLedger.PREFIX + TableRequestLedger.shard(shard) + "/";
    if (isMine(prefix)) {
      var unused = table.scan(prefix).thenAccept(this::deleteOld);
    }
  }

  /** Sweeps one shard now. */
  void sweep(String shard) {
    var unused = table.scan(TableRequestLedger.PREFIX + shard + "/").thenAccept(this::deleteOld);
  }

  private boolean isMine(String prefix) {
    MembershipView view = context.membership().view();
    List<FailureDomain> domains = List.copyOf(view.byDomain().keySet());
    boolean home =
        Rendezvous.first(prefix, domains, FailureDomain::value)
            .filter(view.ownDomain()::equals)
            .isPresent();
    List<InstanceId> alive = view.aliveIn(view.ownDomain()).stream().map(Member::id).toList();
    return home
        && context.membership().hasStanding()
        && Rendezvous.first(prefix, alive, InstanceId::value)
            .filter(view.self()::equals)
            .isPresent();
  }

  private void deleteOld(List<Row> rows) {
    long oldest = context.timer().epochMillis() - context.settings().actionRetention().toMillis();
    rows.stream()
        .filter(row -> isOlder(row, oldest))
        .limit(MAX_DELETIONS)
        .forEach(
            row -> {
              var unused = table.write(Write.delete(row.key(), row.version()));
            });
  }

  private static boolean isOlder(Row row, long oldest) {
    return IntentRow.parse(row.value())
        .filter(intent -> intent.createdAtEpochMillis() < oldest)
        .isPresent();
  }
}
