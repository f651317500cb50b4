package org.snipewick.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.snipewick.time.VirtualTimerService;

class LogFormatTest {
  /** More lines than the log buffer holds, and than the rate limit permits at once. */
  private static final int LINE_COUNT = 20_000;

  private final PrintStream console = System.out;
  private final VirtualTimerService timer = VirtualTimerService.of(1_800_000_000_000L);
  private final Timeline timeline = Timeline.of("wien-a.1", timer, 100);

  @AfterEach
  void restore() {
    System.setOut(console);
    LogFormat.TEXT.apply(LogFormat.LogLevel.WARN);
  }

  @Test
  void shouldWriteFieldsWhenFormatIsJson() {
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    System.setOut(new PrintStream(written, true, StandardCharsets.UTF_8));
    LogFormat.JSON.apply(LogFormat.LogLevel.INFO);
    timeline.record(EventType.REQUEST_FAILED, "wien-a.1-1-7", Map.of("failure", 1102));
    LogFormat.JSON.apply(LogFormat.LogLevel.INFO);
    assertThat(written.toString(StandardCharsets.UTF_8))
        .contains("\"message\":\"request failed\"")
        .contains("\"event\":\"209\"")
        .contains("\"process\":\"wien-a.1\"")
        .contains("\"subject\":\"wien-a.1-1-7\"")
        .contains("\"failure\":\"1102\"");
  }

  @Test
  @Timeout(60)
  void shouldDropAndCountLinesWhenReaderIsBlocked() {
    BlockedStream blocked = new BlockedStream();
    System.setOut(new PrintStream(blocked, true, StandardCharsets.UTF_8));
    LongSupplier dropped = LogFormat.JSON.apply(LogFormat.LogLevel.INFO);
    for (int line = 0; line < LINE_COUNT; line++) {
      timeline.record(EventType.MEMBER_CHANGED, "linz.1", Map.of("state", "ALIVE"));
    }
    assertThat(dropped.getAsLong()).isBetween(1L, (long) LINE_COUNT);
    blocked.released.countDown();
  }

  @Test
  void shouldLimitLinesOfRequestsButNotOfProcessWhenLoadIsHigh() {
    System.setOut(new PrintStream(OutputStream.nullOutputStream()));
    LogFormat.JSON.apply(LogFormat.LogLevel.INFO);
    for (int line = 0; line < LINE_COUNT; line++) {
      timeline.record(EventType.REQUEST_DELIVERED, "wien-a.1-1-" + line);
    }
    long suppressed = timeline.suppressedLines();
    assertThat(suppressed).isGreaterThan(LINE_COUNT / 2);
    timeline.record(EventType.REQUEST_FAILED, "wien-a.1-1-0");
    timeline.record(EventType.MEMBER_CHANGED, "linz.1");
    assertThat(timeline.suppressedLines()).isEqualTo(suppressed);
    timer.advance(Duration.ofMinutes(1));
    timeline.record(EventType.REQUEST_DELIVERED, "wien-a.1-1-0");
    assertThat(timeline.suppressedLines()).isEqualTo(suppressed);
  }

  /** Output whose writers block until {@code released} is counted down. */
  private static final class BlockedStream extends OutputStream {
    private final CountDownLatch released = new CountDownLatch(1);

    @Override
    public void write(int octet) throws IOException {
      try {
        released.await();
      } catch (InterruptedException failure) {
        throw new IOException(failure);
      }
    }
  }
}
