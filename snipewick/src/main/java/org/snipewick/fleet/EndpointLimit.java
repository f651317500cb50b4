package org.snipewick.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What the latest response of an endpoint said of its limit.
 *
 * @param requestsPerSecond requests per second that it takes from all instances together; negative
 *     if the response ended an earlier limit
 * @param ageMillis time since the response, or since its request was sent if it ended a limit, in
 *     milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EndpointLimit(double requestsPerSecond, long ageMillis) {

  /** Returns the later one of two statements. */
  EndpointLimit latest(EndpointLimit other) {
    return other.ageMillis < ageMillis ? other : this;
  }

  /** Returns this statement after a time. */
  EndpointLimit aged(long millis) {
    return new EndpointLimit(requestsPerSecond, ageMillis + Math.max(0, millis));
  }
}
