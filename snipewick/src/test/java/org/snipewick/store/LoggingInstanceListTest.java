package org.snipewick.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.time.VirtualTimerService;

class LoggingInstanceListTest {
  private final VirtualTimerService timer = VirtualTimerService.of(1_800_000_000_000L);
  private final List<EventType> events = new ArrayList<>();
  private final List<Map<String, Object>> details = new ArrayList<>();
  private final EventLog log =
      (type, subject, fields) -> {
        events.add(type);
        details.add(fields);
      };
  private boolean failing;
  private final InstanceList list = LoggingInstanceList.of(this::read, timer, log);

  @Test
  void shouldLogNothingWhenListIsRead() {
    assertThat(list.entryInstances().join()).isEmpty();
    assertThat(events).isEmpty();
  }

  @Test
  void shouldLogLossOnceWithTimeSinceLastReadWhenReadsFail() {
    assertThat(list.entryInstances().join()).isEmpty();
    timer.advance(Duration.ofSeconds(3));
    failing = true;
    assertThat(list.entryInstances()).isCompletedExceptionally();
    assertThat(list.endpointsIn(FailureDomain.of("linz"))).isCompletedExceptionally();
    assertThat(events).containsExactly(EventType.LIST_LOST);
    assertThat(details.get(0)).containsEntry("lastReadMillisAgo", 3_000L);
    assertThat(details.get(0)).containsEntry("detail", "not a list");
  }

  @Test
  void shouldLogRecoveryWhenReadsSucceedAgain() {
    failing = true;
    assertThat(list.list()).isCompletedExceptionally();
    failing = false;
    assertThat(list.list().join()).isEmpty();
    assertThat(list.list().join()).isEmpty();
    assertThat(events).containsExactly(EventType.LIST_LOST, EventType.LIST_REGAINED);
    assertThat(details.get(0)).containsEntry("lastReadMillisAgo", -1L);
  }

  private CompletableFuture<List<ListedInstance>> read() {
    return failing
        ? CompletableFuture.failedFuture(
            Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "not a list").toException())
        : CompletableFuture.completedFuture(List.of());
  }
}
