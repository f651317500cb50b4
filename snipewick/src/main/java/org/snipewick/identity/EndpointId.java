package org.snipewick.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an endpoint: a replica of a model or of a plain service.
 *
 * @param value the name, 1 to 128 visible ASCII characters
 */
public record EndpointId(@JsonValue String value) implements Comparable<EndpointId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name has another length or other characters
   */
  public EndpointId {
    Names.check(value, "EndpointId");
  }

  /**
   * Returns the identifier for a name.
   *
   * @param value the name, 1 to 128 visible ASCII characters
   * @return identifier
   * @throws IllegalArgumentException if the name has another length or other characters
   */
  @JsonCreator
  public static EndpointId of(String value) {
    return new EndpointId(value);
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
