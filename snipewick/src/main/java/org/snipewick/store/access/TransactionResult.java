package org.snipewick.store.access;

import java.util.List;
import org.snipewick.store.TableRow;

/** What the store said of a transaction. */
public sealed interface TransactionResult {

  /**
   * All writes were made.
   *
   * @param version number of the transaction, the new version of each row
   */
  record Committed(long version) implements TransactionResult {}

  /**
   * At least one condition did not hold and nothing was written.
   *
   * @param current rows that were named in conditions and exist, as they stand
   */
  record Refused(List<TableRow> current) implements TransactionResult {

    /** Copies the rows. */
    public Refused {
      current = List.copyOf(current);
    }
  }
}
