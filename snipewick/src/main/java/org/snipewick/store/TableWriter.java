package org.snipewick.store;

import java.util.concurrent.CompletableFuture;

/** Writes rows of the system's own tables in the store. */
public interface TableWriter {

  /**
   * Writes a row, whatever stands there.
   *
   * @param table name of the table
   * @param key key of the row in the part with an empty name
   * @param value content
   * @return number of the transaction, which rises with each one; fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE}, and the write may have been done
   *     or be done later if the outcome is unknown
   */
  CompletableFuture<Long> put(String table, String key, byte[] value);
}
