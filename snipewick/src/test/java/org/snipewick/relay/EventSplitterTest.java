package org.snipewick.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EventSplitterTest {
  private final EventSplitter splitter = new EventSplitter();

  @Test
  void shouldHoldBackEventWhenItIsIncomplete() {
    assertThat(feed("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(splitter.lastId()).contains("1");
    assertThat(splitter.isInsideEvent()).isTrue();
    assertThat(feed("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    assertThat(splitter.lastId()).contains("2");
    assertThat(splitter.isInsideEvent()).isFalse();
  }

  @Test
  void shouldDropPendingBytesWhenAnotherEndpointSendsEventAgain() {
    feed("id: 1\n\nid: 2\nda");
    splitter.dropPending();
    assertThat(feed("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
  }

  @Test
  void shouldKeepBytesUnchangedWhenLinesEndWithCarriageReturn() {
    assertThat(feed("weight-versions: 3\r\nid:4\r\n\r\n"))
        .isEqualTo("weight-versions: 3\r\nid:4\r\n\r\n");
    assertThat(splitter.lastId()).contains("4");
  }

  private String feed(String text) {
    return new String(splitter.feed(text.getBytes(UTF_8)), UTF_8);
  }
}
