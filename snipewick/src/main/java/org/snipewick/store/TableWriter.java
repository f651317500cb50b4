package org.snipewick.store;

import java.util.concurrent.CompletableFuture;

/** Writer of rows in this system's own tables in the store. */
public interface TableWriter {

  /**
   * Writes a row without a condition, replacing any row with that key.
   *
   * @param table name of the table
   * @param key key of the row in the partition with the empty name
   * @param value content
   * @return number of the transaction, higher than that of any earlier one; fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE}, with outcome {@link
   *     org.snipewick.failure.Outcome#UNKNOWN} if the write may have taken effect or may do so
   *     later
   */
  CompletableFuture<Long> put(String table, String key, byte[] value);
}
