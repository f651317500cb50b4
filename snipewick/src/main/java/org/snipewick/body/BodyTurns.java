package org.snipewick.body;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import org.snipewick.time.TimerService;

/**
 * Shares the time of the event loop between the bodies that are being read. Answers a load of
 * bodies in tiny chunks: a chunk takes the decoder about a microsecond whatever its size, so that
 * 300 connections with 16 KiB of them each kept the loop busy for seconds per pass. Used on one
 * event loop only.
 */
final class BodyTurns {
  /** Pieces that all bodies may read in a turn; they take a few milliseconds. */
  static final int PIECES_PER_TURN = 2_048;

  /** Pieces that one body may read before the next body that waits, so that all make progress. */
  static final int PIECES_PER_BODY = 256;

  /**
   * First pieces of a body, which are read without a turn, so that small requests never wait for
   * the bodies of others.
   */
  static final int FREE_PIECES = 64;

  /** Time between turns, in which the event loop handles everything else once. */
  private static final Duration TURN_PERIOD = Duration.ofMillis(1);

  private final TimerService timer;
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private int remainingPieces = PIECES_PER_TURN;
  private long step;
  private boolean isTimerSet;

  BodyTurns(TimerService timer) {
    this.timer = requireNonNull(timer, "timer");
  }

  /** Returns a reader of one body. */
  Reader newReader() {
    return new Reader();
  }

  private void scheduleTurn() {
    if (!isTimerSet) {
      isTimerSet = true;
      timer.after(TURN_PERIOD, this::startTurn);
    }
  }

  private void startTurn() {
    isTimerSet = false;
    remainingPieces = PIECES_PER_TURN;
    if (!waiting.isEmpty()) {
      // Set first, so that the other bodies continue if reading one of them throws.
      scheduleTurn();
    }
    while (remainingPieces > 0 && !waiting.isEmpty()) {
      step++;
      waiting.remove().run();
    }
  }

  /** Asks for the pieces of one body. */
  final class Reader {
    private int piecesRead;
    private int piecesInStep;
    private long latestStep;

    private Reader() {}

    /**
     * Asks whether the next piece may be read now.
     *
     * @param resume continues reading in a later turn if not; it is to ask again
     * @return whether the piece may be read
     */
    boolean tryNext(Runnable resume) {
      if (piecesRead < FREE_PIECES) {
        piecesRead++;
        return true;
      }
      if (latestStep != step) {
        latestStep = step;
        piecesInStep = 0;
      }
      scheduleTurn();
      if (remainingPieces == 0 || piecesInStep == PIECES_PER_BODY) {
        waiting.add(resume);
        return false;
      }
      remainingPieces--;
      piecesInStep++;
      return true;
    }
  }
}
