package org.snipewick.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a team of callers.
 *
 * @param value the name, 1 to 128 visible ASCII characters
 */
public record TeamName(@JsonValue String value) implements Comparable<TeamName> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name has another length or other characters
   */
  public TeamName {
    Names.check(value, "TeamName");
  }

  /**
   * Returns the identifier for a name.
   *
   * @param value the name, 1 to 128 visible ASCII characters
   * @return identifier
   * @throws IllegalArgumentException if the name has another length or other characters
   */
  @JsonCreator
  public static TeamName of(String value) {
    return new TeamName(value);
  }

  @Override
  public int compareTo(TeamName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
