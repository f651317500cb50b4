package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * Range of the rows of a table by key.
 *
 * @param table name of the table
 * @param from lower bound of the keys, inclusive
 * @param to upper bound of the keys, exclusive; empty if there is none
 * @param limit maximum number of rows to return, from 1 to {@link #MAX_ROWS}
 */
public record RowRange(String table, String from, Optional<String> to, int limit) {
  /** Maximum number of rows in a response of the store. */
  public static final int MAX_ROWS = 500;

  /** Checks that no component is null and that the limit is in range. */
  public RowRange {
    requireNonNull(table, "table");
    requireNonNull(from, "from");
    requireNonNull(to, "to");
    if (limit < 1 || limit > MAX_ROWS) {
      throw new IllegalArgumentException("limit of rows out of range: " + limit);
    }
  }

  /**
   * Returns the range of all rows of a table.
   *
   * @param table name of the table
   * @return range with the largest limit
   */
  public static RowRange of(String table) {
    return new RowRange(table, "", Optional.empty(), MAX_ROWS);
  }

  /**
   * Returns a range that finds a single row.
   *
   * @param table name of the table
   * @param key key of the row
   * @return range of one row, which is that one if it exists, else the row with the next higher key
   */
  public static RowRange ofRow(String table, String key) {
    return new RowRange(table, key, Optional.empty(), 1);
  }

  /**
   * Returns the range of the rows whose keys start with a prefix.
   *
   * @param table name of the table
   * @param prefix start of the keys
   * @return range with the largest limit
   */
  public static RowRange ofPrefix(String table, String prefix) {
    return new RowRange(table, prefix, endOfPrefix(prefix), MAX_ROWS);
  }

  /**
   * Returns this range with another lower bound.
   *
   * @param key lower bound of the keys, inclusive
   * @return changed copy
   */
  public RowRange withFrom(String key) {
    return new RowRange(table, key, to, limit);
  }

  /**
   * Returns the smallest text that is greater than every text with a prefix, in the order of UTF-8
   * bytes; empty if there is none.
   */
  private static Optional<String> endOfPrefix(String prefix) {
    int[] codePoints = prefix.codePoints().toArray();
    for (int index = codePoints.length - 1; index >= 0; index--) {
      if (codePoints[index] < Character.MAX_CODE_POINT) {
        codePoints[index] = nextCodePoint(codePoints[index]);
        return Optional.of(new String(codePoints, 0, index + 1));
      }
    }
    return Optional.empty();
  }

  /** Returns the next code point that valid text may contain, which excludes surrogates. */
  private static int nextCodePoint(int codePoint) {
    int next = codePoint + 1;
    return next == Character.MIN_SURROGATE ? Character.MAX_SURROGATE + 1 : next;
  }
}
