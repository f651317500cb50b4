package org.snipewick.store;

import java.util.List;

/**
 * Rows that were read at one moment.
 *
 * @param rows rows in ascending order of their keys
 * @param version newest version of the store at that moment
 * @param isTruncated whether rows with higher keys were left out
 */
public record RowPage(List<TableRow> rows, long version, boolean isTruncated) {

  /** Copies the rows. */
  public RowPage {
    rows = List.copyOf(rows);
  }

  /**
   * Returns the page without a row.
   *
   * @param key key of the row
   * @return page without it; the same rows if it is not there
   */
  public RowPage withoutRow(String key) {
    List<TableRow> others = rows.stream().filter(row -> !row.key().equals(key)).toList();
    return new RowPage(others, version, isTruncated);
  }
}
