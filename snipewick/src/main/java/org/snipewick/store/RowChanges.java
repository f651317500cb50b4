package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import java.util.List;

/** Response to a request for the changes in a table since a version of the store. */
public sealed interface RowChanges {

  /**
   * Changes in the table, possibly none.
   *
   * @param written rows that were inserted or replaced, each as last written, in order of these
   *     writes
   * @param removedKeys keys of rows that were deleted, in order of the deletions
   * @param version version of the store up to which the changes are complete
   * @param era era of the store in which the version counts; see {@link EraTracker}
   */
  record Delta(List<TableRow> written, List<String> removedKeys, long version, long era)
      implements RowChanges {

    /** Copies the lists. */
    public Delta {
      written = List.copyOf(written);
      removedKeys = List.copyOf(removedKeys);
    }

    /**
     * Creates changes of a store that names no era.
     *
     * @param written rows that were inserted or replaced
     * @param removedKeys keys of rows that were deleted
     * @param version version of the store up to which the changes are complete
     */
    public Delta(List<TableRow> written, List<String> removedKeys, long version) {
      this(written, removedKeys, version, EraTracker.NO_ERA);
    }
  }

  /**
   * The store no longer keeps the changes since that version, so all rows have to be read again.
   *
   * @param detail explanation given for the loss
   */
  record HistoryLost(String detail) implements RowChanges {

    /** Checks that the detail is not null. */
    public HistoryLost {
      requireNonNull(detail, "detail");
    }
  }
}
