package org.snipewick.store;

import java.util.concurrent.CompletableFuture;

/** Conditional writer of rows in this system's own tables in the store. */
public interface ConditionalTableWriter {

  /**
   * Writes a row if the condition of the write holds.
   *
   * @param table name of the table
   * @param write conditional write
   * @return result; the future never completes exceptionally, as an unknown outcome is a result too
   */
  CompletableFuture<WriteResult> write(String table, Write write);
}
