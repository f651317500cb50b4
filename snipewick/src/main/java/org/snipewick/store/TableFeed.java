package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/**
 * Rows and changes of one table, each response with the moment as of which it is current. The
 * source may be the store or another instance that reads it.
 */
public interface TableFeed {

  /**
   * Returns a page of the table's rows.
   *
   * @param after key of the last row of the page before; empty for the first page
   * @return page as {@link TableReader#read} returns it; fails as that method does
   */
  CompletableFuture<Proven<RowPage>> read(Optional<String> after);

  /**
   * Returns the changes since a version, and waits for the first one if there are none yet.
   *
   * @param version version of the store after which changes are returned
   * @param maxWait maximum time to wait for the first change
   * @return changes as {@link TableReader#changes} returns them; fails as that method does
   */
  CompletableFuture<Proven<RowChanges>> changes(long version, Duration maxWait);

  /**
   * Returns a feed that reads the store, whose responses are current as of the sending of the call.
   *
   * @param reader access to the store
   * @param table name of the table
   * @param timer source of time
   * @return feed of the table
   */
  static TableFeed of(TableReader reader, String table, TimerService timer) {
    requireNonNull(reader, "reader");
    requireNonNull(table, "table");
    requireNonNull(timer, "timer");
    return new TableFeed() {
      @Override
      public CompletableFuture<Proven<RowPage>> read(Optional<String> after) {
        Moment sentAt = Moment.now(timer);
        return reader.read(table, after).thenApply(page -> new Proven<>(page, sentAt));
      }

      @Override
      public CompletableFuture<Proven<RowChanges>> changes(long version, Duration maxWait) {
        Moment sentAt = Moment.now(timer);
        return reader
            .changes(table, version, maxWait)
            .thenApply(changes -> new Proven<>(changes, sentAt));
      }
    };
  }
}
