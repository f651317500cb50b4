package org.snipewick.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.snipewick.failure.FailureException;
import org.snipewick.memory.MemoryAccount;

class EventSplitterTest {
  private final MemoryAccount memory = MemoryAccount.of(100, Runnable::run);
  private final EventSplitter splitter = new EventSplitter(memory.open(() -> {}));

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

  @Test
  void shouldKeepOnlyBytesOfIncompleteEventInAccount() {
    feed("id: 1\ndata: a\n\nid: 2\nda");
    assertThat(memory.heldBytes()).isEqualTo(8);
    feed("ta: b\n\n");
    assertThat(memory.heldBytes()).isZero();
  }

  @Test
  void shouldThrowAndKeepNothingWhenAccountIsExhausted() {
    assertThatThrownBy(() -> feed("x".repeat(101))).isInstanceOf(FailureException.class);
    splitter.dropPending();
    assertThat(memory.heldBytes()).isZero();
    assertThat(feed("id: 1\n\n")).isEqualTo("id: 1\n\n");
  }

  private String feed(String text) {
    return new String(splitter.feed(text.getBytes(UTF_8)), UTF_8);
  }
}
