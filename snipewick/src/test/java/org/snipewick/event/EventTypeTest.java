package org.snipewick.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards that docs/EVENTS.md lists exactly the event types of the program, with their numbers. */
class EventTypeTest {
  private static final Path EVENTS_PAGE = Path.of("..", "docs", "EVENTS.md");

  @Test
  void shouldListSameEventsWhenPageAndCodeAreCompared() throws IOException {
    List<String> documented =
        Files.readAllLines(EVENTS_PAGE).stream()
            .filter(line -> line.matches("\\| \\d.*"))
            .map(line -> line.replaceAll("^\\| (\\d+) \\| (\\w+) \\|.*", "| $1 $2"))
            .toList();
    List<String> coded =
        Arrays.stream(EventType.values())
            .map(type -> "| " + type.number() + " " + type.name())
            .toList();
    assertThat(documented).containsExactlyElementsOf(coded);
  }

  @Test
  void shouldHaveDistinctNumbersWhenEventsAreListed() {
    assertThat(Arrays.stream(EventType.values()).map(EventType::number)).doesNotHaveDuplicates();
  }
}
