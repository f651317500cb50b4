package org.snipewick.identity;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Identifier of one call of a caller; unique over all instances and their processes.
 *
 * @param instance entry instance that received the call
 * @param incarnation start time of that instance's process, in milliseconds since the Unix epoch
 * @param sequence sequence number of the call within that process
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RequestId(InstanceId instance, long incarnation, long sequence) {

  /** Checks that the instance is not null. */
  public RequestId {
    requireNonNull(instance, "instance");
  }

  /**
   * Returns a request identifier.
   *
   * @param instance entry instance that received the call
   * @param incarnation start time of that instance's process, in milliseconds since the Unix epoch
   * @param sequence sequence number of the call within that process
   * @return identifier
   */
  public static RequestId of(InstanceId instance, long incarnation, long sequence) {
    return new RequestId(instance, incarnation, sequence);
  }

  /**
   * Parses the text form of a request identifier.
   *
   * @param text text that {@link #toString} returned
   * @return identifier
   * @throws IllegalArgumentException if the text is not a request identifier
   */
  public static RequestId parse(String text) {
    int sequenceDot = text.lastIndexOf('.');
    int incarnationDot = sequenceDot < 0 ? -1 : text.lastIndexOf('.', sequenceDot - 1);
    if (incarnationDot < 0) {
      throw new IllegalArgumentException("not a request identifier: " + text);
    }
    return of(
        InstanceId.of(text.substring(0, incarnationDot)),
        Long.parseLong(text.substring(incarnationDot + 1, sequenceDot), Character.MAX_RADIX),
        Long.parseLong(text.substring(sequenceDot + 1), Character.MAX_RADIX));
  }

  /**
   * Returns the text form.
   *
   * @return instance, incarnation and sequence number, separated by dots; the numbers in base 36
   */
  @Override
  public String toString() {
    return instance
        + "."
        + Long.toString(incarnation, Character.MAX_RADIX)
        + "."
        + Long.toString(sequence, Character.MAX_RADIX);
  }
}
