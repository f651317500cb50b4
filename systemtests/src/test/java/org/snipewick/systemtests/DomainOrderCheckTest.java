package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.event.Event;
import org.snipewick.event.EventType;

class DomainOrderCheckTest {

  /**
   * Each word: q = queued, s = shed, f = failed for the caller; domain; tier; request; time in ms.
   */
  @ParameterizedTest
  @CsvSource({
    "sa2x0 f-2x1, 1",
    "sa2x0 qb2x1 f-2x2, 0",
    "sa2x0 sb2x1 f-2x2, 0",
    "sb2y0 sa2x300 f-2x301, 0",
    "sb1y0 sa2x300 f-2x301, 0",
    "sb3y0 sa2x300 f-2x301, 1",
    "sb2y0 sa2x900 f-2x901, 1"
  })
  void shouldFindViolationWhenRequestWasNotOfferedToOtherDomain(String timeline, int violations) {
    List<Event> events =
        Stream.of(timeline.split(" ", -1)).map(DomainOrderCheckTest::event).toList();
    assertThat(DomainOrderCheck.violations(events, Set.of("a", "b"))).hasSize(violations);
  }

  @ParameterizedTest
  @CsvSource({"99, 1", "100, 0", "200, 0", "201, 1"})
  void shouldIgnoreDomainOnlyWhenRequestFailedWithinGap(int millis, int violations) {
    List<Event> events = List.of(event("sa2x0"), event("f-2x" + millis));
    List<DomainOrderCheck.Gap> gaps =
        List.of(
            new DomainOrderCheck.Gap("a", "b", 100_000, 200_000),
            new DomainOrderCheck.Gap("b", "a", 0, 300_000));
    assertThat(DomainOrderCheck.violations(events, Set.of("a", "b"), gaps)).hasSize(violations);
    assertThat(DomainOrderCheck.violations(events.subList(1, 2), Set.of("a", "b"), gaps))
        .as("the local domain is still checked")
        .hasSize(violations + 1);
  }

  private static Event event(String word) {
    long epochMicros = Long.parseLong(word.substring(4)) * 1_000;
    String request = "a.1.1." + word.charAt(3);
    if (word.charAt(0) == 'f') {
      return new Event(
          EventType.REQUEST_FAILED, epochMicros, "a.1", request, Map.of("failure", 1102));
    }
    EventType type = word.charAt(0) == 's' ? EventType.REQUEST_SHED : EventType.REQUEST_QUEUED;
    Map<String, Object> details =
        Map.of("domain", word.substring(1, 2), "tier", word.charAt(2) - '0');
    return new Event(type, epochMicros, "a.1", request, details);
  }
}
