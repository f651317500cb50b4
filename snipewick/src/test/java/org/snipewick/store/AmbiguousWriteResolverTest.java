package org.snipewick.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.event.EventLog;
import org.snipewick.store.InMemoryTable.Fault;
import org.snipewick.time.VirtualTimerService;

/** Results and time limit of {@link AmbiguousWriteResolver}. */
final class AmbiguousWriteResolverTest {
  private static final Duration TIME_LIMIT = Duration.ofSeconds(5);
  private static final Write INSERT = Write.insert("row", "mine");

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final InMemoryTable table = new InMemoryTable();
  private final AmbiguousWriteResolver resolver =
      AmbiguousWriteResolver.of(table, timer, EventLog.none(), new Random(3), TIME_LIMIT);

  private CompletableFuture<WriteResult> write() {
    return resolver.write(INSERT, row -> row.value().equals("mine"));
  }

  @ParameterizedTest
  @CsvSource({"LOST_ANSWER", "LOST_WRITE"})
  void shouldApplyOnceWhenFaultEndsWithinLimit(Fault fault) {
    table.setFault(fault);
    final CompletableFuture<WriteResult> result = write();
    timer.advance(Duration.ofSeconds(2));
    table.setFault(Fault.NONE);
    timer.advance(Duration.ofSeconds(1));

    assertThat(result.getNow(null)).isInstanceOf(WriteResult.Applied.class);
    assertThat(table.peek("row")).contains("mine");
  }

  @Test
  void shouldStayAmbiguousWhenNotResolvedWithinLimit() {
    table.setFault(Fault.LOST_WRITE);
    CompletableFuture<WriteResult> result = write();

    timer.advance(TIME_LIMIT.minusMillis(1));
    assertThat(result).isNotDone();
    timer.advance(Duration.ofMillis(1));
    assertThat(result.getNow(null)).isInstanceOf(WriteResult.Ambiguous.class);
  }

  @Test
  void shouldStayAmbiguousWhenOnlyResentWriteIsRejected() {
    table.setFault(Fault.LOST_ANSWER);
    CompletableFuture<WriteResult> first = table.write(INSERT);
    table.setFault(Fault.OUTAGE);
    CompletableFuture<WriteResult> result =
        resolver.resolve(INSERT, row -> row.value().equals("mine"));
    timer.advance(TIME_LIMIT);

    assertThat(first.join()).isInstanceOf(WriteResult.Ambiguous.class);
    assertThat(result.getNow(null)).isInstanceOf(WriteResult.Ambiguous.class);
  }
}
