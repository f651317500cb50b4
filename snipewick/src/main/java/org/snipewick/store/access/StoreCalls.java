package org.snipewick.store.access;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.store.Write;

/**
 * Calls to the platform's store, with one attempt each. A failure is a response too, so no future
 * completes exceptionally.
 */
public interface StoreCalls extends AutoCloseable {

  /**
   * Returns the first rows of a range, all at one version of the store.
   *
   * @param range range of rows
   * @return page of rows; truncated if the range has more
   */
  CompletableFuture<StoreResult<RowPage>> rows(RowRange range);

  /**
   * Returns the changes of a table since a version, and waits for the first one if there are none
   * yet (long polling).
   *
   * @param table name of the table
   * @param version version of the store after which changes are returned
   * @param maxWait maximum time that the store waits for the first change
   * @return changes, none if the time passed without any, or {@link RowChanges.HistoryLost} if the
   *     store no longer keeps them
   */
  CompletableFuture<StoreResult<RowChanges>> changes(String table, long version, Duration maxWait);

  /**
   * Executes conditional writes in one transaction, all or none.
   *
   * @param table name of the table
   * @param writes writes to different rows
   * @return result; a conflict if a condition does not hold
   */
  CompletableFuture<StoreResult<TransactionResult>> transact(String table, List<Write> writes);

  /**
   * Writes a row without a condition, replacing any row with that key.
   *
   * @param table name of the table
   * @param key key of the row
   * @param value content
   * @return number of the transaction
   */
  CompletableFuture<StoreResult<Long>> put(String table, String key, byte[] value);

  /**
   * Returns the content of an object.
   *
   * @param name name of the object
   * @return its content, empty if it does not exist
   */
  CompletableFuture<StoreResult<Optional<byte[]>>> object(String name);

  /**
   * Stores an object, replacing any content it had.
   *
   * @param name name of the object
   * @param content content
   * @return its name
   */
  CompletableFuture<StoreResult<String>> putObject(String name, byte[] content);

  /**
   * Returns the names of objects that start with a prefix.
   *
   * @param prefix start of the names
   * @return the first such names, in ascending order
   */
  CompletableFuture<StoreResult<List<String>>> objectNames(String prefix);

  /** Closes the connections; futures of calls in flight may never complete. */
  @Override
  void close();
}
