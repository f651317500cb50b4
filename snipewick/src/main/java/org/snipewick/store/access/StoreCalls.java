package org.snipewick.store.access;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.store.Write;

/** Calls to the platform's store, one attempt each; no future fails, as a failure is a reply. */
public interface StoreCalls extends AutoCloseable {

  /**
   * Reads rows as of one moment.
   *
   * @param range which rows
   * @return the first of them
   */
  CompletableFuture<Reply<RowPage>> rows(RowRange range);

  /**
   * Waits for changes of a table.
   *
   * @param table name of the table
   * @param version version since which changes are wanted
   * @param wait how long the store may wait for the first change
   * @return changes, none if the time passed without any
   */
  CompletableFuture<Reply<RowChanges>> changes(String table, long version, Duration wait);

  /**
   * Makes conditional writes, all or none.
   *
   * @param table name of the table
   * @param writes writes to different rows
   * @return what became of them
   */
  CompletableFuture<Reply<TransactionResult>> transact(String table, List<Write> writes);

  /**
   * Writes a row, whatever stands there.
   *
   * @param table name of the table
   * @param key key of the row
   * @param value content
   * @return number of the transaction
   */
  CompletableFuture<Reply<Long>> put(String table, String key, byte[] value);

  /**
   * Reads an object.
   *
   * @param name name of the object
   * @return its content, empty if it does not exist
   */
  CompletableFuture<Reply<Optional<byte[]>>> object(String name);

  /**
   * Stores an object, replacing what was there.
   *
   * @param name name of the object
   * @param content content
   * @return its name
   */
  CompletableFuture<Reply<String>> putObject(String name, byte[] content);

  /**
   * Lists names of objects.
   *
   * @param prefix start of the names
   * @return the first names in ascending order
   */
  CompletableFuture<Reply<List<String>>> objectNames(String prefix);

  /** Ends the connections; calls in flight may stay unanswered. */
  @Override
  void close();
}
