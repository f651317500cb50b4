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
 * Checks promise 3 of design note 0002 in the timeline of a run: a request that failed for its
 * caller because it was shed had been offered to every failure domain first, unless that domain had
 * just shed the same or a higher tier of the same entry instance. The promise does not cover a
 * domain that could not be reached, and it can't be checked for a domain whose events were lost
 * with a process: the caller passes such gaps with their times.
 */
final class DomainOrderCheck {
  private static final int SHED_FAILURE_CODE = 1102;
  private static final long SHED_VALIDITY_MICROS = 500_000;
  private static final long MAX_MESSAGE_DELAY_MICROS = 250_000;

  private DomainOrderCheck() {}

  /** A request that was shed without having been offered to a domain. */
  record Violation(String request, String domain) {}

  /**
   * A period in which offers from an entry domain to a target domain are not checked, with its
   * first and last microsecond since the Unix epoch.
   */
  record Gap(String entryDomain, String targetDomain, long fromEpochMicros, long toEpochMicros) {

    boolean covers(Event failed, String target) {
      return target.equals(targetDomain)
          && Cluster.domain(failed.process()).equals(entryDomain)
          && failed.epochMicros() >= fromEpochMicros
          && failed.epochMicros() <= toEpochMicros;
    }
  }

  /** Returns the violations in a timeline of up to four domains that can reach each other. */
  static List<Violation> violations(List<Event> events, Set<String> domains) {
    return violations(events, domains, List.of());
  }

  /** Returns the violations outside the gaps in a timeline of up to four domains. */
  static List<Violation> violations(List<Event> events, Set<String> domains, List<Gap> gaps) {
    Map<String, Integer> tiersByRequest = new HashMap<>();
    Map<String, List<Event>> offersByDomain = new HashMap<>();
    for (Event event : events) {
      if (event.type() == EventType.REQUEST_SHED || event.type() == EventType.REQUEST_QUEUED) {
        tiersByRequest.put(event.subject(), tier(event));
        offersByDomain
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
                            offersByDomain.getOrDefault(domain, List.of()).stream()
                                .noneMatch(
                                    event ->
                                        isOffer(event, failed)
                                            || isRecentShedOfSameOrHigherTier(
                                                event,
                                                failed,
                                                tiersByRequest.getOrDefault(failed.subject(), 0))))
                    .forEach(domain -> found.add(new Violation(failed.subject(), domain))));
    return found;
  }

  private static boolean isShedForCaller(Event event) {
    return event.type() == EventType.REQUEST_FAILED
        && event.details().get("failure") instanceof Number code
        && code.intValue() == SHED_FAILURE_CODE;
  }

  private static boolean isOffer(Event event, Event failed) {
    return event.subject().equals(failed.subject());
  }

  private static boolean isRecentShedOfSameOrHigherTier(Event event, Event failed, int tier) {
    long elapsedMicros = failed.epochMicros() - event.epochMicros();
    return event.type() == EventType.REQUEST_SHED
        && entryIncarnation(event).equals(entryIncarnation(failed))
        && tier(event) <= tier
        && elapsedMicros >= 0
        && elapsedMicros <= SHED_VALIDITY_MICROS + MAX_MESSAGE_DELAY_MICROS;
  }

  /** Returns the entry instance and its incarnation, which begin the identifier of a request. */
  private static String entryIncarnation(Event event) {
    return event.subject().substring(0, event.subject().lastIndexOf('.'));
  }

  private static int tier(Event event) {
    return ((Number) event.details().get("tier")).intValue();
  }
}
