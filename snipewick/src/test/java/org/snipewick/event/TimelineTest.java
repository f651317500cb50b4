package org.snipewick.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.snipewick.time.VirtualTimerService;

class TimelineTest {
  private final VirtualTimerService timer = VirtualTimerService.of(1_000);

  @Test
  void shouldKeepLatestEventsWhenCapacityIsExceeded() {
    Timeline timeline = Timeline.of("wien-a.1", timer, 2);
    for (int index = 0; index < 3; index++) {
      timer.advance(Duration.ofMillis(1));
      timeline.record(EventType.FIRST_TOKEN, "request-" + index);
    }
    assertThat(timeline.all()).extracting(Event::subject).containsExactly("request-1", "request-2");
    assertThat(timeline.all().get(0).epochMicros()).isEqualTo(1_002_000);
  }

  @Test
  void shouldFindEventsWhenDetailEqualsText() {
    Timeline timeline = Timeline.of("wien-a.1", timer, 8);
    timeline.record(EventType.KEY_CLAIMED, "request-1", Map.of("key", "booking-7"));
    timeline.record(EventType.KEY_CLAIMED, "request-2", Map.of("key", "booking-8"));
    assertThat(timeline.about("booking-7")).extracting(Event::subject).containsExactly("request-1");
  }
}
