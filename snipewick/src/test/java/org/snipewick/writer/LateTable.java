package org.snipewick.writer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;

/** Table as a writer reaches it that dies, is paused or writes twice. */
final class LateTable implements Table {
  private final Table table;
  private final List<Runnable> held = new ArrayList<>();
  private Fault fault = Fault.NONE;

  LateTable(Table table) {
    this.table = table;
  }

  /** What becomes of the writes. */
  enum Fault {
    /** Nothing. */
    NONE,
    /** The writer dies before the write. */
    LOST,
    /** The writer dies after the write and before the answer. */
    ANSWER_LOST,
    /** The writer is paused before the write. */
    LATE,
    /** The writer writes and answers, and a copy of the write is late. */
    TWICE,
    /** The platform refuses the writer. */
    REJECTED
  }

  void fault(Fault changed) {
    fault = changed;
  }

  /** Carries out what was late. */
  void land() {
    List<Runnable> late = List.copyOf(held);
    held.clear();
    late.forEach(Runnable::run);
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
    CompletableFuture<WriteResult> never = new CompletableFuture<>();
    return switch (fault) {
      case NONE -> table.write(write);
      case LOST -> never;
      case ANSWER_LOST -> table.write(write).thenCompose(result -> never);
      case LATE -> {
        held.add(
            () -> {
              var unused = table.write(write).thenAccept(never::complete);
            });
        yield never;
      }
      case TWICE -> {
        held.add(
            () -> {
              var unused = table.write(write);
            });
        yield table.write(write);
      }
      case REJECTED -> CompletableFuture.completedFuture(new WriteResult.Rejected("outage"));
    };
  }
}
