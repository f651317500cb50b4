package org.snipewick.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ExplanationTest {
  private static final List<LogLine> LINES =
      Stream.of(
              line(5, "wien-a.1", 209, "request failed", "r-1", "\"failure\":\"1102\""),
              line(3, "wien-a.2", 214, "scheduler decided", "r-1", "\"decision\":\"refuse\""),
              line(1, "wien-a.1", 201, "idempotency key claimed", "r-1", "\"key\":\"k\""),
              line(4, "wien-a.2", 401, "standing lost", "", "\"reason\":\"paused\""),
              line(9, "linz.1", 401, "standing lost", "", "\"reason\":\"paused\""),
              line(2, "wien-a.1", 208, "answer delivered", "r-2", "\"key\":\"other\""),
              "ready entry 127.0.0.1:8080",
              "{\"message\":\"a library's line\",\"level\":\"WARN\"}")
          .map(LogLine::parse)
          .flatMap(Optional::stream)
          .toList();

  @Test
  void shouldReadOnlyEventLinesWhenLogIsParsed() {
    assertThat(LINES).hasSize(6);
    assertThat(LINES.get(0).fields()).containsOnlyKeys("failure");
  }

  @Test
  void shouldListRequestLinesInOrderOfTimeWhenRequestIsNamed() {
    Explanation explanation = Explanation.of("r-1", LINES);
    assertThat(explanation.requestLines())
        .extracting(LogLine::event)
        .containsExactly(201, 214, 209);
  }

  @Test
  void shouldListOnlyContextLinesOfItsTimeWhenRequestIsNamed() {
    Explanation explanation = Explanation.of("r-1", LINES);
    assertThat(explanation.contextLines()).extracting(LogLine::process).containsExactly("wien-a.2");
  }

  @Test
  void shouldFindRequestsWhenKeyIsNamed() {
    assertThat(Explanation.of("k", LINES).findEnd()).map(LogLine::event).contains(209);
    assertThat(Explanation.of("other", LINES).findEnd()).map(LogLine::event).contains(208);
  }

  @Test
  void shouldReportMissingLinesWhenNoLineMentionsRequest() {
    assertThat(Explanation.of("r-9", LINES).toText()).contains("No log line mentions this request");
  }

  @Test
  void shouldReportUnknownEndWhenProcessDied() {
    List<LogLine> cut = LINES.stream().filter(line -> line.event() != 209).toList();
    assertThat(Explanation.of("r-1", cut).toText()).contains("Ended: no log line shows it");
  }

  private static String line(
      int second, String process, int event, String title, String subject, String field) {
    String time = "2026-12-04T06:00:0" + second + ".000Z";
    return ("{\"@timestamp\":\"%s\",\"message\":\"%s\",\"level\":\"INFO\",\"event\":\"%d\","
            + "\"process\":\"%s\",\"subject\":\"%s\",%s}")
        .formatted(time, title, event, process, subject, field);
  }
}
