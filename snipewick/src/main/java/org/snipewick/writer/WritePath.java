package org.snipewick.writer;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;

/** Path on which a conditional write reaches the platform's table. Thread-safe. */
sealed interface WritePath permits WritePath.Direct, RemoteWritePath {

  /**
   * Writes one row under its condition.
   *
   * @param write what to write
   * @return result; never fails, ambiguous if an answer was lost on the path
   */
  CompletableFuture<WriteResult> write(Write write);

  /**
   * Path of an instance that calls the platform itself.
   *
   * @param table table limited to the share of the request rate that is reserved for this path
   */
  record Direct(Table table) implements WritePath {

    /** Checks that the table is not null. */
    public Direct {
      requireNonNull(table, "table");
    }

    @Override
    public CompletableFuture<WriteResult> write(Write write) {
      return table.write(write);
    }
  }
}
