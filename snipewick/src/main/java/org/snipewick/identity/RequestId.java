package org.snipewick.identity;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Identifier of one call of a caller at one entry instance; unique over all instances.
 *
 * @param instance entry instance that received the call
 * @param incarnation start of that instance's process, in milliseconds since the Unix epoch
 * @param sequence number of the call within that process
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RequestId(InstanceId instance, long incarnation, long sequence) {

  /** Checks the parts. */
  public RequestId {
    requireNonNull(instance, "instance");
  }

  /**
   * Returns a request identifier.
   *
   * @param instance entry instance that received the call
   * @param incarnation start of that instance's process, in milliseconds since the Unix epoch
   * @param sequence number of the call within that process
   * @return identifier
   */
  public static RequestId of(InstanceId instance, long incarnation, long sequence) {
    return new RequestId(instance, incarnation, sequence);
  }

  /**
   * Parses the text form.
   *
   * @param text what {@link #toString} returned
   * @return identifier
   * @throws IllegalArgumentException if the text is not one
   */
  public static RequestId parse(String text) {
    int last = text.lastIndexOf('.');
    int middle = last < 0 ? -1 : text.lastIndexOf('.', last - 1);
    if (middle < 0) {
      throw new IllegalArgumentException("not a request identifier: " + text);
    }
    return of(
        InstanceId.of(text.substring(0, middle)),
        Long.parseLong(text.substring(middle + 1, last), Character.MAX_RADIX),
        Long.parseLong(text.substring(last + 1), Character.MAX_RADIX));
  }

  @Override
  public String toString() {
    return instance
        + "."
        + Long.toString(incarnation, Character.MAX_RADIX)
        + "."
        + Long.toString(sequence, Character.MAX_RADIX);
  }
}
