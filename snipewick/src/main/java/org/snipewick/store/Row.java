package org.snipewick.store;

import static java.util.Objects.requireNonNull;

/**
 * A row of the platform's table with text content.
 *
 * @param key key of the row
 * @param version version of the row, which changes with each write
 * @param value content
 */
public record Row(String key, long version, String value) {

  /** Checks that key and value are not null. */
  public Row {
    requireNonNull(key, "key");
    requireNonNull(value, "value");
  }
}
