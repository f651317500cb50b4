package org.snipewick.body;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snipewick.memory.MemoryAccount;
import org.snipewick.time.VirtualTimerService;

/** Guards against bodies that stop short of their end and keep the memory of other requests. */
class IncompleteBodiesTest {
  private static final long LIMIT_BYTES = 1_000_000;
  private static final Duration STALL = Duration.ofSeconds(2);

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final MemoryAccount memory = MemoryAccount.of(LIMIT_BYTES, Runnable::run);
  private final List<String> gaveWay = new ArrayList<>();
  private int count;
  private final IncompleteBodies bodies = new IncompleteBodies(memory, timer, () -> count++);

  private IncompleteBodies.Body open(String name) {
    return bodies.open(() -> gaveWay.add(name));
  }

  @Test
  void shouldKeepHalfOfAccountFreeWhenManySmallBodiesAreIncomplete() {
    int accepted = 0;
    for (int index = 0; index < 100; index++) {
      accepted += open("crowd").tryReserve(60_000, false) ? 1 : 0;
    }

    assertThat(accepted).isEqualTo((int) (LIMIT_BYTES / 2 / 60_000));
    assertThat(gaveWay).isEmpty();
  }

  @Test
  void shouldDiscardBodyLongestWithoutProgressWhenLargeOneNeedsRoom() {
    IncompleteBodies.Body first = open("first");
    assertThat(first.tryReserve(200_000, true)).isTrue();
    assertThat(open("second").tryReserve(200_000, true)).isTrue();
    timer.advance(STALL.dividedBy(2));
    assertThat(first.recordReceived(IncompleteBodies.PROGRESS_BYTES)).isTrue();
    assertThat(open("early").tryReserve(200_000, true)).isFalse();
    timer.advance(STALL.dividedBy(2));

    assertThat(open("late").tryReserve(200_000, true)).isTrue();
    assertThat(gaveWay).containsExactly("second");
    assertThat(count).isEqualTo(1);
  }

  @Test
  void shouldNotCountFewBytesAsProgressWhenBodyArrivesByteByByte() {
    IncompleteBodies.Body slow = open("slow");
    assertThat(slow.tryReserve(400_000, true)).isTrue();
    for (int second = 1; second <= 3; second++) {
      timer.advance(Duration.ofSeconds(1));
      assertThat(slow.recordReceived(second)).isFalse();
    }

    assertThat(open("other").tryReserve(400_000, true)).isTrue();
    assertThat(gaveWay).containsExactly("slow");
  }

  @Test
  void shouldDiscardLargestBodyWhenSmallOneNeedsRoom() {
    assertThat(open("large").tryReserve(450_000, true)).isTrue();

    assertThat(open("small").tryReserve(60_000, false)).isTrue();
    assertThat(gaveWay).containsExactly("large");
  }
}
