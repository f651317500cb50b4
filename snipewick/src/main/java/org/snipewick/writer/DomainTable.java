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
 * The platform's table with writes through the writer of the failure domain, and the direct way
 * while that writer is silent.
 *
 * <p>A write may take effect long after its result was ambiguous, and more than once if its
 * condition holds again. It is for callers that allow for both, by tokens of their own and by
 * versions that are never used again.
 */
public final class DomainTable implements Table {
  private final Table direct;
  private final Membership membership;
  private final BooleanSupplier enabled;
  private final SilentWriter silent;
  private final WritePath directPath;
  private final WritePath ownPath;
  private final WritePath remotePath;

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
    this.silent = new SilentWriter(timer, events);
    this.directPath = new WritePath.Direct(tables.direct());
    this.ownPath = new WritePath.Direct(tables.writer());
    this.remotePath =
        new RemoteWrites(
            network, timer, directPath, this::usableWriter, silent, tables.answerTimeout());
  }

  /**
   * Creates the table of an instance.
   *
   * @param tables ways to the platform
   * @param network network to the other instances
   * @param membership who is alive
   * @param timer time
   * @param events event log
   * @param enabled whether writes go through writers at present
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
    return path().write(write);
  }

  private WritePath path() {
    Optional<InstanceId> writer = usableWriter();
    if (writer.isEmpty()) {
      return directPath;
    }
    if (!writer.get().equals(membership.view().self())) {
      return remotePath;
    }
    return membership.hasStanding() ? ownPath : directPath;
  }

  private Optional<InstanceId> usableWriter() {
    return enabled.getAsBoolean()
        ? WriterPlacement.of(membership.view()).filter(writer -> !silent.isAvoided(writer))
        : Optional.empty();
  }

  /**
   * Ways to the platform.
   *
   * @param direct table with the instance's own share of the rate
   * @param writer table with the writer's share of the rate
   * @param answerTimeout how long to wait for the answer of the writer
   */
  public record Tables(Table direct, Table writer, Duration answerTimeout) {

    /** Checks the parts. */
    public Tables {
      requireNonNull(direct, "direct");
      requireNonNull(writer, "writer");
      requireNonNull(answerTimeout, "answerTimeout");
    }
  }
}
