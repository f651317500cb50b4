package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import java.util.List;

/** What has become of the rows of a table since a version. */
public sealed interface RowChanges {

  /**
   * The changes in order; may be none.
   *
   * @param written rows that were written
   * @param removedKeys keys of rows that were removed
   * @param version version up to which the changes are told
   */
  record Told(List<TableRow> written, List<String> removedKeys, long version)
      implements RowChanges {

    /** Copies the lists. */
    public Told {
      written = List.copyOf(written);
      removedKeys = List.copyOf(removedKeys);
    }
  }

  /**
   * The store no longer knows what changed since then; all rows have to be read again.
   *
   * @param detail what the store said
   */
  record Forgotten(String detail) implements RowChanges {

    /** Checks the parts. */
    public Forgotten {
      requireNonNull(detail, "detail");
    }
  }
}
