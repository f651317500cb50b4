package org.snipewick.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's transactional table, with reads and conditional writes of single rows. */
public interface Table {

  /**
   * Returns a row. The row may be stale, that is older than the latest write, unless the
   * implementation reads with strong consistency.
   *
   * @param key key of the row
   * @return the row, empty if it does not exist; fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE} if it cannot be read
   */
  CompletableFuture<Optional<Row>> read(String key);

  /**
   * Returns the rows whose keys start with a prefix, in ascending order of their keys.
   *
   * @param prefix start of the keys
   * @return rows, possibly none; fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE} if they cannot be read
   */
  CompletableFuture<List<Row>> scan(String prefix);

  /**
   * Writes one row if the condition of the write holds. Concurrent writes may share a transaction;
   * each gets the result of its own condition.
   *
   * @param write conditional write
   * @return result; the future never completes exceptionally, as an unknown outcome is a result too
   */
  CompletableFuture<WriteResult> write(Write write);
}
