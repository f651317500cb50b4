package org.snipewick.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a failure domain.
 *
 * @param value the name, 1 to 128 visible ASCII characters
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name has another length or other characters
   */
  public FailureDomain {
    Names.check(value, "FailureDomain");
  }

  /**
   * Returns the identifier for a name.
   *
   * @param value the name, 1 to 128 visible ASCII characters
   * @return identifier
   * @throws IllegalArgumentException if the name has another length or other characters
   */
  @JsonCreator
  public static FailureDomain of(String value) {
    return new FailureDomain(value);
  }

  @Override
  public int compareTo(FailureDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
