package org.snipewick.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a model or plain service, served by a pool of endpoints.
 *
 * @param value the name, 1 to 128 visible ASCII characters
 */
public record PoolName(@JsonValue String value) implements Comparable<PoolName> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name has another length or other characters
   */
  public PoolName {
    Names.check(value, "PoolName");
  }

  /**
   * Returns the identifier for a name.
   *
   * @param value the name, 1 to 128 visible ASCII characters
   * @return identifier
   * @throws IllegalArgumentException if the name has another length or other characters
   */
  @JsonCreator
  public static PoolName of(String value) {
    return new PoolName(value);
  }

  @Override
  public int compareTo(PoolName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
