package org.snipewick.systemtests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.event.Event;
import org.snipewick.event.EventType;

/**
 * Checks promise 3 of design note 0002 in a run's time line: a request that its caller was told to
 * be shed was offered to every other failure domain first, unless that domain had just shed the
 * same or a higher tier of the same entry instance. Nothing is promised of a domain that could not
 * be reached, and nothing is known of one whose records were lost with a process: such gaps are
 * given to the check with their times.
 */
final class DomainOrderCheck {
  private static final int SHED = 1102;
  private static final long REFUSAL_MEMORY_MICROS = 500_000;
  private static final long MESSAGE_MICROS = 250_000;

  private DomainOrderCheck() {}

  /** A request that was refused without having been offered to a domain. */
  record Violation(String request, String domain) {}

  /** A time, in microseconds since the Unix epoch, for which one domain's offers say nothing. */
  record Gap(String entryDomain, String askedDomain, long fromMicros, long toMicros) {

    boolean covers(Event failed, String asked) {
      return asked.equals(askedDomain)
          && Cluster.domain(failed.process()).equals(entryDomain)
          && failed.epochMicros() >= fromMicros
          && failed.epochMicros() <= toMicros;
    }
  }

  /** Finds violations in a time line of up to four domains that can reach each other. */
  static List<Violation> violations(List<Event> events, Set<String> domains) {
    return violations(events, domains, List.of());
  }

  /** Finds violations in a time line of up to four domains outside the gaps. */
  static List<Violation> violations(List<Event> events, Set<String> domains, List<Gap> gaps) {
    Map<String, Integer> tiers = new HashMap<>();
    Map<String, List<Event>> byDomain = new HashMap<>();
    for (Event event : events) {
      if (event.type() == EventType.REQUEST_SHED || event.type() == EventType.REQUEST_QUEUED) {
        tiers.put(event.subject(), tier(event));
        byDomain
            .computeIfAbsent(event.details().get("domain").toString(), name -> new ArrayList<>())
            .add(event);
      }
    }
    List<Violation> found = new ArrayList<>();
    events.stream()
        .filter(DomainOrderCheck::isShedForCaller)
        .forEach(
            failed ->
                domains.stream()
                    .filter(domain -> gaps.stream().noneMatch(gap -> gap.covers(failed, domain)))
                    .filter(
                        domain ->
                            byDomain.getOrDefault(domain, List.of()).stream()
                                .noneMatch(
                                    event ->
                                        isOffer(event, failed)
                                            || explains(
                                                event,
                                                failed,
                                                tiers.getOrDefault(failed.subject(), 0))))
                    .forEach(domain -> found.add(new Violation(failed.subject(), domain))));
    return found;
  }

  private static boolean isShedForCaller(Event event) {
    return event.type() == EventType.REQUEST_FAILED
        && event.details().get("failure") instanceof Number number
        && number.intValue() == SHED;
  }

  private static boolean isOffer(Event event, Event failed) {
    return event.subject().equals(failed.subject());
  }

  private static boolean explains(Event event, Event failed, int tier) {
    long since = failed.epochMicros() - event.epochMicros();
    return event.type() == EventType.REQUEST_SHED
        && entry(event).equals(entry(failed))
        && tier(event) <= tier
        && since >= 0
        && since <= REFUSAL_MEMORY_MICROS + MESSAGE_MICROS;
  }

  /** Returns instance and incarnation of the entry that a request's identifier begins with. */
  private static String entry(Event event) {
    return event.subject().substring(0, event.subject().lastIndexOf('.'));
  }

  private static int tier(Event event) {
    return ((Number) event.details().get("tier")).intValue();
  }
}
