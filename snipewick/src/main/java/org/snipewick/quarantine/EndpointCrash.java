package org.snipewick.quarantine;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import org.snipewick.identity.EndpointId;

/**
 * Crash of one incarnation of an endpoint, as seen by one instance. Immutable.
 *
 * @param endpoint endpoint
 * @param startedEpochMillis start of the incarnation, in milliseconds since the Unix epoch
 * @param epochMillis time of the crash by the clock of the instance that saw it
 * @param depths position in its prompt of each part that may have caused the crash, 0 for the first
 *     part; the greatest one if several requests contain the part
 */
public record EndpointCrash(
    EndpointId endpoint, long startedEpochMillis, long epochMillis, Map<String, Integer> depths) {
  /** Bounds the size of the record of a crash. */
  static final int MAX_PARTS = 16;

  /** Checks that no component is null, and copies the map. */
  public EndpointCrash {
    requireNonNull(endpoint, "endpoint");
    depths = Map.copyOf(depths);
  }

  /** Returns whether a record is about the same incarnation of an endpoint. */
  boolean isOf(EndpointId other, long otherStartedEpochMillis) {
    return endpoint.equals(other) && startedEpochMillis == otherStartedEpochMillis;
  }

  /** Returns this crash with the parts of another request; at most {@link #MAX_PARTS} are kept. */
  EndpointCrash withParts(Map<String, Integer> added) {
    Map<String, Integer> merged = new HashMap<>(depths);
    added.forEach(
        (part, depth) -> {
          if (merged.containsKey(part) || merged.size() < MAX_PARTS) {
            merged.merge(part, depth, Math::max);
          }
        });
    return new EndpointCrash(endpoint, startedEpochMillis, epochMillis, merged);
  }
}
