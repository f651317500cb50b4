package org.snipewick.writer;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;

/** Way that a conditional write takes to the platform's table. */
sealed interface WritePath permits WritePath.Direct, RemoteWrites {

  /**
   * Writes one row under its condition.
   *
   * @param write what to write
   * @return result; never fails, ambiguous if an answer was lost on the way
   */
  CompletableFuture<WriteResult> write(Write write);

  /**
   * Way of an instance that calls the platform itself.
   *
   * @param table table with the share of the rate that belongs to this way
   */
  record Direct(Table table) implements WritePath {

    /** Checks the table. */
    public Direct {
      requireNonNull(table, "table");
    }

    @Override
    public CompletableFuture<WriteResult> write(Write write) {
      return table.write(write);
    }
  }
}
