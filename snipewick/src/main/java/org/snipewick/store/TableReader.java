package org.snipewick.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reader of rows and changes of the store's tables. */
public interface TableReader {

  /**
   * Returns a page of the rows in the partition with the empty name.
   *
   * @param table name of the table
   * @param after key of the last row of the page before; empty for the first page
   * @return rows with higher keys, in ascending order; fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE} if they cannot be read
   */
  CompletableFuture<RowPage> read(String table, Optional<String> after);

  /**
   * Returns the changes since a version, and waits for the first one if there are none yet (long
   * polling).
   *
   * @param table name of the table
   * @param version version of the store after which changes are returned
   * @param maxWait maximum time that the store waits for the first change
   * @return changes, none if the time passed without any, or {@link RowChanges.HistoryLost} if the
   *     store no longer keeps them; fails as {@link #read} does
   */
  CompletableFuture<RowChanges> changes(String table, long version, Duration maxWait);
}
