package org.snipewick.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's transactional table. */
public interface Table {

  /**
   * Reads a row; the answer may be older than the latest write unless the read is strong.
   *
   * @param key key of the row
   * @return the row, empty if it does not exist; fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE}
   */
  CompletableFuture<Optional<Row>> read(String key);

  /**
   * Reads the rows whose keys start with a prefix, in order of their keys.
   *
   * @param prefix start of the keys
   * @return rows; fails with {@link org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE}
   */
  CompletableFuture<List<Row>> scan(String prefix);

  /**
   * Writes one row under its condition. Writes of several callers may share a transaction; each
   * gets the result of its own condition.
   *
   * @param write what to write
   * @return result; never fails, as doubt is a value here
   */
  CompletableFuture<WriteResult> write(Write write);
}
