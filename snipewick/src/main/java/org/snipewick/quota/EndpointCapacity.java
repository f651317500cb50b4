package org.snipewick.quota;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.snipewick.identity.EndpointId;

/**
 * Division of an endpoint's limit among the slots. Permits are whole, so a limit is divided among a
 * few slots only, each of which grants at least some permits in a window.
 */
final class EndpointCapacity {
  /** Window in which the requests to an endpoint are counted. */
  static final Duration WINDOW = Duration.ofSeconds(4);

  /**
   * Permits in a window beyond the limit, so that an endpoint with the lowest limit still gets a
   * request, by whose response it can lift the limit. The rule allows 1.5 times the limit and 5.
   */
  private static final double ADDITIONAL_PERMITS = 1;

  /** With fewer, rounding down would waste most of a slot's part. */
  private static final double MIN_PERMITS_PER_SLOT = 3;

  private EndpointCapacity() {}

  /** Returns the slots out of which an endpoint's permits are granted. */
  static List<Integer> slots(EndpointId endpoint, double requestsPerSecond) {
    int first = Math.floorMod(endpoint.value().hashCode(), QuotaSlots.COUNT);
    return IntStream.range(0, count(requestsPerSecond))
        .mapToObj(number -> (first + number) % QuotaSlots.COUNT)
        .toList();
  }

  /** Returns the number of permits that each of these slots grants in a window. */
  static int permitsPerSlot(double requestsPerSecond) {
    return (int) (permits(requestsPerSecond) / count(requestsPerSecond));
  }

  private static int count(double requestsPerSecond) {
    double count = permits(requestsPerSecond) / MIN_PERMITS_PER_SLOT;
    return (int) Math.max(1, Math.min(QuotaSlots.COUNT, count));
  }

  /** A permit counts for its lifetime and a window, in which the limit must be used up. */
  private static double permits(double requestsPerSecond) {
    Duration counts = WINDOW.plus(SlotLease.GRANT_LIFETIME);
    return requestsPerSecond * counts.toMillis() / 1e3 + ADDITIONAL_PERMITS;
  }
}
