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
   */
  record Delta(List<TableRow> written, List<String> removedKeys, long version)
      implements RowChanges {

    /** Copies the lists. */
    public Delta {
      written = List.copyOf(written);
      removedKeys = List.copyOf(removedKeys);
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
