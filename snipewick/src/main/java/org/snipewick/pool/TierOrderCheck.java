package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snipewick.event.Event;
import org.snipewick.event.EventType;
import org.snipewick.identity.Tier;

/**
 * Checks the events of a run: no scheduler may shed a request while a request of a lower tier waits
 * at the same scheduler.
 */
public final class TierOrderCheck {
  private TierOrderCheck() {}

  /**
   * Request that was shed while one of a lower tier waited.
   *
   * @param shed event of the shedding
   * @param tier tier of the shed request
   * @param waiting id of a request that was still waiting at the same scheduler
   * @param lowerTier tier of the waiting request
   */
  public record Violation(Event shed, Tier tier, String waiting, Tier lowerTier) {

    /** Requires all components to be non-null. */
    public Violation {
      requireNonNull(shed, "shed");
      requireNonNull(tier, "tier");
      requireNonNull(waiting, "waiting");
      requireNonNull(lowerTier, "lowerTier");
    }
  }

  /**
   * Returns all violations.
   *
   * @param events events of any types and processes; those of one process in the order in which
   *     they occurred
   * @return violations, in the order of their events
   */
  public static List<Violation> violations(List<Event> events) {
    Map<String, Map<String, Tier>> waiting = new HashMap<>();
    List<Violation> found = new ArrayList<>();
    for (Event event : events) {
      if (event.type() == EventType.REQUEST_QUEUED) {
        recordQueueChange(
            event, waiting.computeIfAbsent(schedulerKey(event), key -> new LinkedHashMap<>()));
      } else if (event.type() == EventType.REQUEST_SHED) {
        Map<String, Tier> others = waiting.getOrDefault(schedulerKey(event), new HashMap<>());
        others.remove(event.subject());
        addViolations(event, others, found);
      } else if (event.type() == EventType.PROCESS_STARTED) {
        waiting.keySet().removeIf(key -> key.startsWith(event.process() + "/"));
      } else if (event.type() == EventType.POOL_HANDED_OVER) {
        waiting.keySet().removeIf(key -> key.startsWith(event.process() + "/" + event.subject()));
      }
    }
    return found;
  }

  private static void recordQueueChange(Event event, Map<String, Tier> waiting) {
    if (DecisionEvents.WAITING.equals(event.details().get(DecisionEvents.STATE))) {
      waiting.put(event.subject(), tierOf(event));
    } else {
      waiting.remove(event.subject());
    }
  }

  private static void addViolations(Event shed, Map<String, Tier> others, List<Violation> found) {
    Tier tier = tierOf(shed);
    others.forEach(
        (request, other) -> {
          if (tier.isHigherThan(other)) {
            found.add(new Violation(shed, tier, request, other));
          }
        });
  }

  private static String schedulerKey(Event event) {
    Map<String, Object> details = event.details();
    return event.process()
        + "/"
        + details.get(DecisionEvents.POOL)
        + "/"
        + details.get(DecisionEvents.DOMAIN);
  }

  private static Tier tierOf(Event event) {
    return Tier.of(((Number) event.details().get(DecisionEvents.TIER)).intValue());
  }
}
