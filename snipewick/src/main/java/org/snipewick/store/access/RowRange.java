package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * Rows of a table with neighbouring keys.
 *
 * @param table name of the table
 * @param from least key, included
 * @param to least key beyond the range; empty if there is none
 * @param limit most rows wanted
 */
public record RowRange(String table, String from, Optional<String> to, int limit) {
  /** Most rows that the store gives in an answer. */
  public static final int MAX_ROWS = 500;

  /** Checks the parts. */
  public RowRange {
    requireNonNull(table, "table");
    requireNonNull(from, "from");
    requireNonNull(to, "to");
    if (limit < 1 || limit > MAX_ROWS) {
      throw new IllegalArgumentException("limit out of range: " + limit);
    }
  }

  /**
   * Returns the whole of a table.
   *
   * @param table name of the table
   * @return range
   */
  public static RowRange of(String table) {
    return new RowRange(table, "", Optional.empty(), MAX_ROWS);
  }

  /**
   * Returns the place of a single row.
   *
   * @param table name of the table
   * @param key key of the row
   * @return range whose first row is that one, if it exists
   */
  public static RowRange ofRow(String table, String key) {
    return new RowRange(table, key, Optional.empty(), 1);
  }

  /**
   * Returns the rows whose keys start with a prefix.
   *
   * @param table name of the table
   * @param prefix start of the keys
   * @return range
   */
  public static RowRange ofPrefix(String table, String prefix) {
    return new RowRange(table, prefix, after(prefix), MAX_ROWS);
  }

  /**
   * Returns the same range with another begin.
   *
   * @param key least key, included
   * @return changed copy
   */
  public RowRange withFrom(String key) {
    return new RowRange(table, key, to, limit);
  }

  /** Returns the least text that is greater than all with a prefix, in the order of bytes. */
  private static Optional<String> after(String prefix) {
    int[] characters = prefix.codePoints().toArray();
    for (int index = characters.length - 1; index >= 0; index--) {
      if (characters[index] < Character.MAX_CODE_POINT) {
        characters[index] = next(characters[index]);
        return Optional.of(new String(characters, 0, index + 1));
      }
    }
    return Optional.empty();
  }

  /** Returns the next code point that a text may hold; surrogates are none. */
  private static int next(int codePoint) {
    int next = codePoint + 1;
    return next == Character.MIN_SURROGATE ? Character.MAX_SURROGATE + 1 : next;
  }
}
