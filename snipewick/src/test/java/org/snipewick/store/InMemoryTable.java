package org.snipewick.store;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;

/** Table in memory that can simulate the faults of the platform. */
public final class InMemoryTable implements Table {
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private long lastVersion;
  private Fault fault = Fault.NONE;

  /** Fault that affects each call. */
  public enum Fault {
    /** No fault. */
    NONE,
    /** Calls fail without effect. */
    OUTAGE,
    /** Writes take effect, but their responses are lost. */
    LOST_ANSWER,
    /** Writes are lost in transit; to a caller this looks the same as a lost response. */
    LOST_WRITE
  }

  /** Sets the fault that affects all later calls. */
  public void setFault(Fault changed) {
    fault = changed;
  }

  /** Returns the content of a row, unaffected by faults; empty if it does not exist. */
  public Optional<String> peek(String key) {
    return Optional.ofNullable(rows.get(key)).map(Row::value);
  }

  @Override
  public CompletableFuture<Optional<Row>> read(String key) {
    return fault == Fault.OUTAGE
        ? unavailable()
        : CompletableFuture.completedFuture(Optional.ofNullable(rows.get(key)));
  }

  @Override
  public CompletableFuture<List<Row>> scan(String prefix) {
    return fault == Fault.OUTAGE
        ? unavailable()
        : CompletableFuture.completedFuture(
            rows.values().stream().filter(row -> row.key().startsWith(prefix)).toList());
  }

  @Override
  public CompletableFuture<WriteResult> write(Write write) {
    return CompletableFuture.completedFuture(
        switch (fault) {
          case NONE -> apply(write);
          case OUTAGE -> new WriteResult.Rejected("outage");
          case LOST_WRITE -> new WriteResult.Ambiguous("lost");
          case LOST_ANSWER -> {
            apply(write);
            yield new WriteResult.Ambiguous("lost");
          }
        });
  }

  private WriteResult apply(Write write) {
    Row row = rows.get(write.key());
    if (write instanceof Write.Insert insert) {
      return row == null ? put(insert.key(), insert.value()) : conflict(row);
    }
    if (write instanceof Write.Replace replace) {
      return row != null && row.version() == replace.version()
          ? put(replace.key(), replace.value())
          : conflict(row);
    }
    Write.Delete delete = (Write.Delete) write;
    if (row == null || row.version() != delete.version()) {
      return conflict(row);
    }
    rows.remove(delete.key());
    return new WriteResult.Applied(row.version());
  }

  private WriteResult put(String key, String value) {
    lastVersion++;
    rows.put(key, new Row(key, lastVersion, value));
    return new WriteResult.Applied(lastVersion);
  }

  private static WriteResult conflict(Row row) {
    return new WriteResult.Conflict(Optional.ofNullable(row));
  }

  private static <T> CompletableFuture<T> unavailable() {
    return CompletableFuture.failedFuture(
        Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "outage").toException());
  }
}
