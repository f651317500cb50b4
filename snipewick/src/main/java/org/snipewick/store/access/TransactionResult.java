package org.snipewick.store.access;

import java.util.List;
import org.snipewick.store.TableRow;

/** Result of a transaction in the store. */
public sealed interface TransactionResult {

  /**
   * All writes took effect.
   *
   * @param version number of the transaction, the new version of each row
   */
  record Committed(long version) implements TransactionResult {}

  /**
   * At least one condition did not hold, and nothing was written.
   *
   * @param current current rows with the keys of the conditions; a row that does not exist is left
   *     out
   */
  record Conflict(List<TableRow> current) implements TransactionResult {

    /** Copies the rows. */
    public Conflict {
      current = List.copyOf(current);
    }
  }
}
