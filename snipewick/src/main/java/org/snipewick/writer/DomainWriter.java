package org.snipewick.writer;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.snipewick.membership.Membership;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.Table;
import org.snipewick.store.WriteResult;
import org.snipewick.writer.WriterMessages.Answer;
import org.snipewick.writer.WriterMessages.Batch;
import org.snipewick.writer.WriterMessages.NotWriter;
import org.snipewick.writer.WriterMessages.Operation;
import org.snipewick.writer.WriterMessages.Results;

/**
 * Sends writes of all instances of the failure domain to the platform while this instance is the
 * domain's writer. It keeps nothing: an instance whose answer is lost repeats the same write.
 */
public final class DomainWriter {
  private final Membership membership;
  private final Table table;
  private final BooleanSupplier enabled;

  private DomainWriter(Membership membership, Table table, BooleanSupplier enabled) {
    this.membership = requireNonNull(membership, "membership");
    this.table = requireNonNull(table, "table");
    this.enabled = requireNonNull(enabled, "enabled");
  }

  /**
   * Starts to answer batches of other instances.
   *
   * @param network network to the other instances
   * @param membership who is alive
   * @param table table with the writer's share of the rate
   * @param enabled whether writes go through writers at present
   * @return writer
   */
  public static DomainWriter start(
      PeerNetwork network, Membership membership, Table table, BooleanSupplier enabled) {
    DomainWriter writer = new DomainWriter(membership, table, enabled);
    network.handle(Batch.class, (from, batch) -> writer.write(batch));
    return writer;
  }

  private CompletableFuture<PeerMessage> write(Batch batch) {
    if (!mayWrite()) {
      return CompletableFuture.completedFuture(new NotWriter());
    }
    List<CompletableFuture<WriteResult>> results =
        batch.operations().stream().map(Operation::toWrite).map(table::write).toList();
    return CompletableFuture.allOf(results.toArray(CompletableFuture[]::new))
        .thenApply(
            done -> new Results(results.stream().map(each -> Answer.of(each.join())).toList()));
  }

  /** Judged at each batch: a process that was paused finds out before it writes old batches. */
  private boolean mayWrite() {
    return enabled.getAsBoolean()
        && membership.hasStanding()
        && WriterPlacement.of(membership.view())
            .filter(membership.view().self()::equals)
            .isPresent();
  }
}
