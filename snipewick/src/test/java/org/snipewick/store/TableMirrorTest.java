package org.snipewick.store;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewick.event.EventLog;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.time.Moment;
import org.snipewick.time.VirtualTimerService;

class TableMirrorTest {
  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final ScriptedReader reader = new ScriptedReader();
  private final RecordingListener listener = new RecordingListener();

  @Test
  void shouldPollFromVersionOfFirstPageWhenTableHasSeveralPages() {
    start();
    reader.pages.remove().complete(new RowPage(List.of(row("a", 4)), 10, true));
    reader.pages.remove().complete(new RowPage(List.of(row("b", 11)), 12, false));
    assertThat(listener.received).containsExactly("rows a b");
    assertThat(reader.requests).containsExactly("read ", "read a", "changes 10");
  }

  @Test
  void shouldPollFromVersionOfChangesWhenChangesAreReceived() {
    start();
    reader.pages.remove().complete(new RowPage(List.of(), 10, false));
    reader.changes.remove().complete(changesUpTo(14, "a"));
    timer.advance(Duration.ofSeconds(1));
    reader.changes.remove().complete(changesUpTo(14));
    assertThat(listener.received).containsExactly("rows", "changes a", "changes");
    assertThat(reader.requests).endsWith("changes 10", "changes 14", "changes 14");
  }

  @Test
  void shouldReadAllRowsAgainWhenHistoryIsLost() {
    start();
    reader.pages.remove().complete(new RowPage(List.of(), 10, false));
    reader.changes.remove().complete(new RowChanges.HistoryLost("too old"));
    reader.pages.remove().complete(new RowPage(List.of(row("z", 20)), 21, false));
    assertThat(listener.received).containsExactly("rows", "rows z");
    assertThat(reader.requests).endsWith("changes 21");
  }

  /** Guards against a mirror that compares versions of two histories of the store. */
  @Test
  void shouldReadAllRowsAgainWhenStoreIsRestored() {
    start();
    reader.pages.remove().complete(new RowPage(List.of(row("a", 9)), 10, false, 1));
    reader.changes.remove().complete(new RowChanges.Delta(List.of(), List.of(), 12, 2));
    reader.pages.remove().complete(new RowPage(List.of(row("b", 7)), 8, false, 2));
    assertThat(listener.received).containsExactly("rows a", "new era", "rows b");
    assertThat(reader.requests).endsWith("changes 10", "read ", "changes 8");
  }

  /** Guards against rows of two eras that are mixed, and against a late page of an earlier one. */
  @Test
  void shouldReadFromStartWhenEraChangesBetweenPages() {
    start();
    reader.pages.remove().complete(new RowPage(List.of(row("a", 9)), 10, true, 1));
    reader.pages.remove().complete(new RowPage(List.of(row("b", 7)), 8, false, 2));
    timer.advance(Duration.ofSeconds(1));
    reader.pages.remove().complete(new RowPage(List.of(row("c", 7)), 8, false, 2));
    assertThat(listener.received).containsExactly("lost", "regained", "rows c");
  }

  @Test
  void shouldNotifyListenerOfLossOnceWhenSeveralCallsFail() {
    start();
    reader.pages.remove().complete(new RowPage(List.of(), 10, false));
    for (int failure = 0; failure < 3; failure++) {
      reader.changes.remove().completeExceptionally(unavailable());
      timer.advance(Duration.ofMillis(500));
    }
    reader.changes.remove().complete(changesUpTo(11));
    assertThat(listener.received).containsExactly("rows", "lost", "regained", "changes");
  }

  @Test
  void shouldPassTimeOfSendingWhenResponseIsLate() {
    start();
    reader.pages.remove().complete(new RowPage(List.of(), 10, false));
    timer.advance(Duration.ofSeconds(2));
    reader.changes.remove().complete(changesUpTo(10));
    assertThat(listener.lastSentAt.since(new Moment(0, 0))).isEqualTo(Duration.ZERO);
  }

  @Test
  void shouldCollectChangesInFewPollsWhenTheyComeInSeries() {
    start();
    reader.pages.remove().complete(new RowPage(List.of(), 10, false));
    reader.changes.remove().complete(changesUpTo(11, "a"));
    timer.advance(Duration.ofMillis(999));
    assertThat(reader.requests).endsWith("changes 10");
    timer.advance(Duration.ofMillis(1));
    assertThat(reader.requests).endsWith("changes 11");
  }

  @Test
  void shouldContinueWhenListenerThrows() {
    listener.throwing = true;
    start();
    reader.pages.remove().complete(new RowPage(List.of(row("odd", 4)), 10, false));
    reader.changes.remove().complete(changesUpTo(11, "odd"));
    timer.advance(Duration.ofSeconds(1));
    assertThat(reader.requests).endsWith("changes 10", "changes 11");
  }

  private void start() {
    TableMirror.start(
        reader,
        "endpoints",
        new PollSchedule(Duration.ofSeconds(2), Duration.ofSeconds(1)),
        timer,
        EventLog.none(),
        new SplittableRandom(1),
        listener);
  }

  private static TableRow row(String key, long version) {
    return new TableRow("", key, key.getBytes(UTF_8), version);
  }

  private static RowChanges changesUpTo(long version, String... keys) {
    return new RowChanges.Delta(
        List.of(keys).stream().map(key -> row(key, version)).toList(), List.of(), version);
  }

  private static RuntimeException unavailable() {
    return Failure.unknown(FailureType.PLATFORM_UNAVAILABLE, "no response").toException();
  }

  private static final class ScriptedReader implements TableReader {
    private final List<String> requests = new ArrayList<>();
    private final Deque<CompletableFuture<RowPage>> pages = new ArrayDeque<>();
    private final Deque<CompletableFuture<RowChanges>> changes = new ArrayDeque<>();

    @Override
    public CompletableFuture<RowPage> read(String table, Optional<String> after) {
      requests.add("read " + after.orElse(""));
      pages.add(new CompletableFuture<>());
      return pages.getLast();
    }

    @Override
    public CompletableFuture<RowChanges> changes(String table, long version, Duration maxWait) {
      requests.add("changes " + version);
      changes.add(new CompletableFuture<>());
      return changes.getLast();
    }
  }

  private static final class RecordingListener implements MirrorListener {
    private final List<String> received = new ArrayList<>();
    private Moment lastSentAt;
    private boolean throwing;

    @Override
    public void onRows(List<TableRow> rows, Moment sentAt) {
      failIfThrowing();
      received.add(text("rows", rows));
    }

    @Override
    public void onChanges(RowChanges.Delta changes, Moment sentAt) {
      failIfThrowing();
      received.add(text("changes", changes.written()));
      lastSentAt = sentAt;
    }

    @Override
    public void onNewEra() {
      received.add("new era");
    }

    @Override
    public void onUnavailable() {
      received.add("lost");
    }

    @Override
    public void onAvailableAgain() {
      received.add("regained");
    }

    private void failIfThrowing() {
      if (throwing) {
        throw new IllegalStateException("defect");
      }
    }

    private static String text(String event, List<TableRow> rows) {
      StringBuilder text = new StringBuilder(event);
      rows.forEach(row -> text.append(' ').append(row.key()));
      return text.toString();
    }
  }
}
