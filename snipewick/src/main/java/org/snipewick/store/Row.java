package org.snipewick.store;

import static java.util.Objects.requireNonNull;

/**
 * A row of the platform's table as it was read.
 *
 * @param key key of the row
 * @param version version of the row, changed by each write
 * @param value content
 */
public record Row(String key, long version, String value) {

  /** Checks the parts. */
  public Row {
    requireNonNull(key, "key");
    requireNonNull(value, "value");
  }
}
