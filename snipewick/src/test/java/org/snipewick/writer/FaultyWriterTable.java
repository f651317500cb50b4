package org.snipewick.writer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;

/** Table whose writes fail as if the writer had stopped, was paused or wrote twice. */
final class FaultyWriterTable implements Table {
  private final Table table;
  private final List<Runnable> delayedWrites = new ArrayList<>();
  private Fault fault = Fault.NONE;

  FaultyWriterTable(Table table) {
    this.table = table;
  }

  /** Fault that affects the writes. */
  enum Fault {
    /** No fault. */
    NONE,
    /** The writer stops before the write. */
    LOST,
    /** The writer stops after the write and before the answer. */
    ANSWER_LOST,
    /** The writer is paused before the write. */
    LATE,
    /** The writer writes and answers, and a copy of the write arrives late. */
    TWICE,
    /** The platform rejects the write. */
    REJECTED
  }

  void setFault(Fault changed) {
    fault = changed;
  }

  /** Applies the writes that were delayed. */
  void applyDelayedWrites() {
    List<Runnable> delayed = List.copyOf(delayedWrites);
    delayedWrites.clear();
    delayed.forEach(Runnable::run);
  }

  @Override
  public CompletableFuture<Optional<Row>> read(String key) {
    return table.read(key);
  }

  @Override
  public CompletableFuture<List<Row>> scan(String prefix) {
    return table.scan(prefix);
  }

  @Override
  public CompletableFuture<WriteResult> write(Write write) {
    CompletableFuture<WriteResult> unanswered = new CompletableFuture<>();
    return switch (fault) {
      case NONE -> table.write(write);
      case LOST -> unanswered;
      case ANSWER_LOST -> table.write(write).thenCompose(result -> unanswered);
      case LATE -> {
        delayedWrites.add(
            () -> {
              var unused = table.write(write).thenAccept(unanswered::complete);
            });
        yield unanswered;
      }
      case TWICE -> {
        delayedWrites.add(
            () -> {
              var unused = table.write(write);
            });
        yield table.write(write);
      }
      case REJECTED -> CompletableFuture.completedFuture(new WriteResult.Rejected("outage"));
    };
  }
}
