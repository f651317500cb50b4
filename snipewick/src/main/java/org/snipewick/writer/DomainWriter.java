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
 * Sends the writes of other instances of the failure domain to the platform while this instance is
 * the domain's writer. It is stateless: an instance that receives no answer sends the same write
 * again. Thread-safe.
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
   * Registers a writer that answers the batches of other instances.
   *
   * @param network network to the other instances
   * @param membership current members, from which the writer is chosen
   * @param table table limited to the writer's share of the request rate
   * @param enabled whether writes are currently sent through writers
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

  /**
   * Returns whether this instance is the writer. Evaluated for each batch, so that a process that
   * was paused detects that it is inactive before it writes stale batches.
   */
  private boolean mayWrite() {
    return enabled.getAsBoolean()
        && membership.isActive()
        && WriterPlacement.of(membership.view())
            .filter(membership.view().self()::equals)
            .isPresent();
  }
}
