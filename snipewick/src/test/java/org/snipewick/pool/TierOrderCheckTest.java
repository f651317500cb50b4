package org.snipewick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.event.Event;
import org.snipewick.event.EventType;

class TierOrderCheckTest {

  // Characters of each word: event (q = queued, l = left the queue, s = shed), process, request,
  // tier.
  @ParameterizedTest
  @CsvSource({
    "qp14 sp21, 1",
    "qp14 qp21 sp21, 1",
    "qp14 qp24 qp31 sp31, 2",
    "qp14 sp14 qp21 sp21, 0",
    "qp14 lp14 qp21 sp21, 0",
    "qp11 qp24 sp24, 0",
    "qp12 qp22 sp22, 0",
    "qo14 qp21 sp21, 0"
  })
  void shouldFindViolationWhenLowerTierWaitsAtSameScheduler(String words, int violations) {
    List<Event> events = new ArrayList<>();
    for (String word : List.of(words.split(" ", -1))) {
      events.add(event(word));
    }

    assertThat(TierOrderCheck.violations(events)).hasSize(violations);
  }

  private static Event event(String word) {
    EventType type = word.charAt(0) == 's' ? EventType.REQUEST_SHED : EventType.REQUEST_QUEUED;
    Map<String, Object> details =
        Map.of(
            DecisionEvents.POOL,
            "model",
            DecisionEvents.DOMAIN,
            "a",
            DecisionEvents.TIER,
            word.charAt(3) - '0',
            DecisionEvents.STATE,
            word.charAt(0) == 'q' ? DecisionEvents.WAITING : DecisionEvents.LEFT);
    return new Event(type, 0, word.substring(1, 2), word.substring(2, 3), details);
  }
}
