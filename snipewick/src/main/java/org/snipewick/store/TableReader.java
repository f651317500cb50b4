package org.snipewick.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reads the rows of the store's tables, and what has changed in them. */
public interface TableReader {

  /**
   * Reads rows of the part with an empty name.
   *
   * @param table name of the table
   * @param after key after which reading goes on; empty to begin
   * @return rows; fails with {@link org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE}
   */
  CompletableFuture<RowPage> read(String table, Optional<String> after);

  /**
   * Waits for changes.
   *
   * @param table name of the table
   * @param version version since which changes are wanted
   * @param wait how long the store may wait for the first change
   * @return changes, none if the time passed without any; fails as {@link #read} does
   */
  CompletableFuture<RowChanges> changes(String table, long version, Duration wait);
}
