package org.snipewick.writer;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.snipewick.event.EventLog;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Membership;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.TimerService;

/**
 * The platform's table, with writes sent through the writer of the failure domain, or directly to
 * the platform while that writer is avoided because it did not answer. Reads are always direct.
 * Thread-safe.
 *
 * <p>A write may take effect long after its result was ambiguous, and more than once if its
 * condition holds again. Users of this table must tolerate both, by tokens of their own and by
 * versions that are never reused.
 */
public final class DomainTable implements Table {
  private final Table direct;
  private final Membership membership;
  private final BooleanSupplier enabled;
  private final UnresponsiveWriter unresponsiveWriter;
  private final WritePath directPath;
  private final WritePath localWriterPath;
  private final WritePath remoteWriterPath;

  private DomainTable(
      Tables tables,
      PeerNetwork network,
      Membership membership,
      TimerService timer,
      EventLog events,
      BooleanSupplier enabled) {
    this.direct = tables.direct();
    this.membership = requireNonNull(membership, "membership");
    this.enabled = requireNonNull(enabled, "enabled");
    this.unresponsiveWriter = new UnresponsiveWriter(timer, events);
    this.directPath = new WritePath.Direct(tables.direct());
    this.localWriterPath = new WritePath.Direct(tables.writer());
    this.remoteWriterPath =
        new RemoteWritePath(
            network,
            timer,
            directPath,
            this::usableWriter,
            unresponsiveWriter,
            tables.answerTimeout());
  }

  /**
   * Creates the table of an instance.
   *
   * @param tables tables of the platform with their shares of the request rate, and the timeout of
   *     the writer's answers
   * @param network network to the other instances
   * @param membership current members, from which the writer is chosen
   * @param timer clock and timer
   * @param events event log
   * @param enabled whether writes are currently sent through writers
   * @return table
   */
  public static DomainTable of(
      Tables tables,
      PeerNetwork network,
      Membership membership,
      TimerService timer,
      EventLog events,
      BooleanSupplier enabled) {
    return new DomainTable(tables, network, membership, timer, events, enabled);
  }

  @Override
  public CompletableFuture<Optional<Row>> read(String key) {
    return direct.read(key);
  }

  @Override
  public CompletableFuture<List<Row>> scan(String prefix) {
    return direct.scan(prefix);
  }

  @Override
  public CompletableFuture<WriteResult> write(Write write) {
    return selectPath().write(write);
  }

  private WritePath selectPath() {
    Optional<InstanceId> writer = usableWriter();
    if (writer.isEmpty()) {
      return directPath;
    }
    if (!writer.get().equals(membership.view().self())) {
      return remoteWriterPath;
    }
    return membership.isActive() ? localWriterPath : directPath;
  }

  /** Returns the writer of the local domain unless writers are disabled or it is being avoided. */
  private Optional<InstanceId> usableWriter() {
    return enabled.getAsBoolean()
        ? WriterPlacement.of(membership.view())
            .filter(writer -> !unresponsiveWriter.isAvoided(writer))
        : Optional.empty();
  }

  /**
   * Tables of the platform that differ in their share of the request rate, and the timeout of the
   * writer's answers.
   *
   * @param direct table limited to the instance's share of the request rate
   * @param writer table limited to the writer's share of the request rate
   * @param answerTimeout how long to wait for an answer from the writer
   */
  public record Tables(Table direct, Table writer, Duration answerTimeout) {

    /** Checks that no component is null. */
    public Tables {
      requireNonNull(direct, "direct");
      requireNonNull(writer, "writer");
      requireNonNull(answerTimeout, "answerTimeout");
    }
  }
}
