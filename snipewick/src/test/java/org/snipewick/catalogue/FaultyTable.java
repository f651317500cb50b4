package org.snipewick.catalogue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.store.InMemoryTable;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;

/** Connection of one instance to the shared table, which can return stale reads or be cut. */
final class FaultyTable implements Table {
  private final InMemoryTable shared;
  private boolean readsStale;
  private boolean cut;
  private long reads;

  FaultyTable(InMemoryTable shared) {
    this.shared = shared;
  }

  /** Sets whether reads find no row, as those of a lagging replica do. */
  void setReadsStale(boolean stale) {
    readsStale = stale;
  }

  /** Sets whether reads and writes fail. */
  void setCut(boolean cut) {
    this.cut = cut;
  }

  /** Returns the number of reads so far. */
  long reads() {
    return reads;
  }

  @Override
  public CompletableFuture<Optional<Row>> read(String key) {
    reads++;
    if (cut) {
      return CompletableFuture.failedFuture(
          Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "cut").toException());
    }
    if (readsStale) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return shared.read(key);
  }

  @Override
  public CompletableFuture<List<Row>> scan(String prefix) {
    return shared.scan(prefix);
  }

  @Override
  public CompletableFuture<WriteResult> write(Write write) {
    return cut
        ? CompletableFuture.completedFuture(new WriteResult.Rejected("cut"))
        : shared.write(write);
  }
}
