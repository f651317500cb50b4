package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import java.util.Arrays;

/**
 * A row of one of the store's tables with binary content.
 *
 * @param partition name of the partition that holds the row; may be empty
 * @param key key within the partition
 * @param value content; copied on construction and on access
 * @param version number of the transaction that wrote it
 */
public record TableRow(String partition, String key, byte[] value, long version) {

  /** Checks that no component is null, and copies the content. */
  public TableRow {
    requireNonNull(partition, "partition");
    requireNonNull(key, "key");
    value = value.clone();
  }

  @Override
  public byte[] value() {
    return value.clone();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TableRow row
        && partition.equals(row.partition)
        && key.equals(row.key)
        && Arrays.equals(value, row.value)
        && version == row.version;
  }

  @Override
  public int hashCode() {
    return 31 * key.hashCode() + Long.hashCode(version);
  }
}
