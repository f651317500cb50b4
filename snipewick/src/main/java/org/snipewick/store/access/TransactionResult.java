package org.snipewick.store.access;

import java.util.List;
import org.snipewick.store.EraTracker;
import org.snipewick.store.TableRow;

/** Result of a transaction in the store. */
public sealed interface TransactionResult {

  /**
   * All writes took effect.
   *
   * @param version number of the transaction, the new version of each row
   * @param era era of the store in which the number counts
   */
  record Committed(long version, long era) implements TransactionResult {

    /**
     * Creates the result of a transaction in a store that names no era.
     *
     * @param version number of the transaction, the new version of each row
     */
    public Committed(long version) {
      this(version, EraTracker.NO_ERA);
    }
  }

  /**
   * At least one condition did not hold, and nothing was written.
   *
   * @param current current rows with the keys of the conditions; a row that does not exist is left
   *     out
   * @param era era of the store in which the rows have their versions
   */
  record Conflict(List<TableRow> current, long era) implements TransactionResult {

    /** Copies the rows. */
    public Conflict {
      current = List.copyOf(current);
    }

    /**
     * Creates the result of a transaction in a store that names no era.
     *
     * @param current current rows with the keys of the conditions
     */
    public Conflict(List<TableRow> current) {
      this(current, EraTracker.NO_ERA);
    }
  }
}
