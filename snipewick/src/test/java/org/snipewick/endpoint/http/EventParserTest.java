package org.snipewick.endpoint.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.endpoint.StreamEvent;

class EventParserTest {
  private static final byte[] STREAM_BYTES =
      ": comment\r\ndata: ä1\r\n\r\nevent: x\ndata:two\ndata: lines\n\ndata: [DONE]\n\ndata: cut"
          .getBytes(StandardCharsets.UTF_8);

  static IntStream cutPositions() {
    return IntStream.range(0, STREAM_BYTES.length);
  }

  @ParameterizedTest
  @MethodSource("cutPositions")
  void shouldReturnSameEventsWhenBytesAreSplitAnywhere(int cutPosition) {
    EventParser parser = EventParser.of(1000);

    List<StreamEvent> events =
        new ArrayList<>(parser.feed(Arrays.copyOf(STREAM_BYTES, cutPosition)));
    events.addAll(parser.feed(Arrays.copyOfRange(STREAM_BYTES, cutPosition, STREAM_BYTES.length)));

    assertThat(events)
        .extracting(StreamEvent::data)
        .containsExactly("ä1", "two\nlines", StreamEvent.DONE);
  }

  @Test
  void shouldReportExceededLimitWhenOneEventIsTooLong() {
    EventParser parser = EventParser.of(10);

    assertThat(parser.feed("data: 123456789".getBytes(StandardCharsets.UTF_8))).isEmpty();
    assertThat(parser.exceedsLimit()).isTrue();
  }
}
