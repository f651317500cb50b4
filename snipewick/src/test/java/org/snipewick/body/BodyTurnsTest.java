package org.snipewick.body;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.ChannelSupplier;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.snipewick.body.RequestBodies.KeptBody;
import org.snipewick.memory.MemoryAccount;
import org.snipewick.time.VirtualTimerService;

/** Guards against bodies in tiny chunks that keep the event loop from everything else. */
class BodyTurnsTest {
  private static final int TINY_PIECES = 100_000;
  private static final int CROWD = 300;
  private static final Duration STEP = Duration.ofMillis(1);

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final RequestBodies bodies =
      new RequestBodies(MemoryAccount.of(1_000_000_000, Runnable::run), timer, () -> {});
  private long piecesRead;

  BodyTurnsTest() {
    Eventloop.create().withCurrentThread();
  }

  private Promise<KeptBody> read(int pieces) {
    return bodies.read(
        ChannelSupplier.ofStream(
            Stream.iterate(0, index -> index + 1)
                .limit(pieces)
                .map(
                    index -> {
                      piecesRead++;
                      return ByteBuf.wrapForReading(new byte[] {1});
                    })),
        0,
        TINY_PIECES,
        () -> {});
  }

  @Test
  void shouldReadBoundedNumberOfPiecesInTurnWhenCrowdSendsTinyChunks() {
    List<Promise<KeptBody>> crowd = new ArrayList<>();
    for (int index = 0; index < CROWD; index++) {
      crowd.add(read(TINY_PIECES));
    }
    long readAtOnce = piecesRead;
    timer.advance(STEP);

    assertThat(readAtOnce)
        .isLessThanOrEqualTo(CROWD * (BodyTurns.FREE_PIECES + 1L) + BodyTurns.PIECES_PER_TURN);
    assertThat(piecesRead - readAtOnce).isLessThanOrEqualTo(BodyTurns.PIECES_PER_TURN);
    assertThat(crowd).noneMatch(Promise::isComplete);
  }

  @Test
  void shouldReadSmallBodyAtOnceWhenCrowdWaits() {
    for (int index = 0; index < CROWD; index++) {
      read(TINY_PIECES);
    }

    assertThat(read(10).getResult().bytes()).hasSize(10);
  }

  @Test
  void shouldReadEveryBodyToItsEndWhenAllTakeTurns() {
    List<Promise<KeptBody>> crowd = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      crowd.add(read(5_000));
    }
    timer.advance(STEP.multipliedBy(100));

    assertThat(crowd).allMatch(body -> body.getResult().bytes().length == 5_000);
  }
}
