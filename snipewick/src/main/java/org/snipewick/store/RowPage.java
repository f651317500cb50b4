package org.snipewick.store;

import java.util.List;

/**
 * Page of rows that were read at one version of the store.
 *
 * @param rows rows in ascending order of their keys
 * @param version version of the store at which they were read
 * @param isTruncated whether the range has further rows with higher keys
 * @param era era of the store, within which versions can be compared; see {@link EraTracker}
 */
public record RowPage(List<TableRow> rows, long version, boolean isTruncated, long era) {

  /** Copies the rows. */
  public RowPage {
    rows = List.copyOf(rows);
  }

  /**
   * Creates a page of a store that names no era.
   *
   * @param rows rows in ascending order of their keys
   * @param version version of the store at which they were read
   * @param isTruncated whether the range has further rows with higher keys
   */
  public RowPage(List<TableRow> rows, long version, boolean isTruncated) {
    this(rows, version, isTruncated, EraTracker.NO_ERA);
  }

  /**
   * Returns this page without one row.
   *
   * @param key key of the row
   * @return copy without that row; a copy with the same rows if the page does not have it
   */
  public RowPage withoutRow(String key) {
    List<TableRow> others = rows.stream().filter(row -> !row.key().equals(key)).toList();
    return new RowPage(others, version, isTruncated, era);
  }
}
