package org.snipewick.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an entry instance.
 *
 * @param value the name, 1 to 128 visible ASCII characters
 */
public record InstanceId(@JsonValue String value) implements Comparable<InstanceId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name has another length or other characters
   */
  public InstanceId {
    Names.check(value, "InstanceId");
  }

  /**
   * Returns the identifier for a name.
   *
   * @param value the name, 1 to 128 visible ASCII characters
   * @return identifier
   * @throws IllegalArgumentException if the name has another length or other characters
   */
  @JsonCreator
  public static InstanceId of(String value) {
    return new InstanceId(value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
