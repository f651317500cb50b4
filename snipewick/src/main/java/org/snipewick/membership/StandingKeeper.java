package org.snipewick.membership;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.time.TimerService;

/**
 * Decides whether this instance has standing. Changes come from the timer's thread; reading is safe
 * from any thread and judges by the clock, so that a process that was paused knows it at once.
 */
final class StandingKeeper {
  private static final int REMEMBERED_ROUNDS = 8;

  private final MembershipSettings settings;
  private final TimerService timer;
  private final EventLog log;
  private final AtomicReference<Standing> standing;
  private final long[] roundSentNanos = new long[REMEMBERED_ROUNDS];
  private long sequence;
  private long firstRound;
  private long firstRoundSequence;

  StandingKeeper(MembershipSettings settings, TimerService timer, EventLog log, long sequence) {
    this.settings = settings;
    this.timer = timer;
    this.log = log;
    this.sequence = sequence;
    this.firstRound = sequence + 1;
    this.firstRoundSequence = sequence + 1;
    this.standing = new AtomicReference<>(new Standing(false, 0, timer.nanoTime(), 0, false));
  }

  /** Starts a round; false if this instance had been paused and lost its standing. */
  boolean tick() {
    long now = timer.nanoTime();
    Standing before = standing.get();
    boolean inTime = !isLate(before, now);
    if (!inTime) {
      lose("paused");
    }
    sequence++;
    roundSentNanos[(int) (sequence % REMEMBERED_ROUNDS)] = now;
    standing.updateAndGet(current -> current.withTick(now));
    return inTime;
  }

  /** Tells whether the last round began so recently that a further one would be superfluous. */
  boolean isEarly() {
    long sinceLast = timer.nanoTime() - standing.get().lastTickNanos();
    return sinceLast < settings.heartbeatPeriod().toNanos() / 4;
  }

  /** Returns the number of the current round. */
  long sequence() {
    return sequence;
  }

  /** Tells whether a number is that of a round of this process. */
  boolean isOwnRound(long acknowledged) {
    return acknowledged >= firstRoundSequence && acknowledged <= sequence;
  }

  /** Notes that a neighbour answered a round. */
  void answered(long acknowledged) {
    if (isOwnRound(acknowledged) && sequence - acknowledged < REMEMBERED_ROUNDS) {
      long sent = roundSentNanos[(int) (acknowledged % REMEMBERED_ROUNDS)];
      standing.updateAndGet(current -> current.withAnswer(sent));
    }
  }

  /** Takes the standing away until a further round is complete. */
  void lose(String reason) {
    firstRound = sequence + 1;
    Standing before = standing.getAndUpdate(Standing::withoutStanding);
    if (before.granted()) {
      log.record(EventType.STANDING_LOST, "", Map.of("reason", reason));
    }
  }

  /** Reviews the standing once this instance knows its neighbours. */
  void review(Collection<MemberRecord> neighbours) {
    boolean alone = neighbours.isEmpty();
    long now = timer.nanoTime();
    Standing current = standing.updateAndGet(before -> before.withAlone(alone, now));
    if (current.granted()) {
      if (!isAnswered(current)) {
        lose("no answer");
      }
      return;
    }
    boolean complete =
        sequence >= firstRound
            && neighbours.stream().allMatch(one -> one.acknowledgedSequence() >= firstRound);
    if (complete && isAnswered(current)) {
      long since = timer.epochMillis();
      standing.updateAndGet(before -> before.withStanding(since));
      log.record(EventType.STANDING_GAINED, "", Map.of("sinceEpochMillis", since));
    }
  }

  /** Tells whether a neighbour has yet to answer before standing is granted. */
  boolean awaits(MemberRecord neighbour) {
    return !standing.get().granted() && neighbour.acknowledgedSequence() < firstRound;
  }

  boolean hasStanding() {
    Standing current = standing.get();
    return current.granted() && !isLate(current, timer.nanoTime()) && isAnswered(current);
  }

  private boolean isLate(Standing current, long now) {
    return now - current.lastTickNanos() > settings.standingTimeout().toNanos();
  }

  long sinceEpochMillis() {
    return standing.get().sinceEpochMillis();
  }

  private boolean isAnswered(Standing current) {
    return current.alone()
        || timer.nanoTime() - current.answeredSentNanos() <= settings.answerTimeout().toNanos();
  }

  /**
   * Snapshot of the standing.
   *
   * @param granted whether a round was completed since the last loss
   * @param sinceEpochMillis when it was granted last
   * @param lastTickNanos when the last round began
   * @param answeredSentNanos when the newest answered round began
   * @param alone whether there is no neighbour to answer
   */
  private record Standing(
      boolean granted,
      long sinceEpochMillis,
      long lastTickNanos,
      long answeredSentNanos,
      boolean alone) {

    Standing withTick(long now) {
      return new Standing(granted, sinceEpochMillis, now, answeredSentNanos, alone);
    }

    Standing withAnswer(long sent) {
      long newest = answeredSentNanos - sent > 0 ? answeredSentNanos : sent;
      return new Standing(granted, sinceEpochMillis, lastTickNanos, newest, alone);
    }

    /** A first neighbour has had no time to answer, nor to declare this instance dead. */
    Standing withAlone(boolean changed, long now) {
      long sent = alone && !changed ? now : answeredSentNanos;
      return new Standing(granted, sinceEpochMillis, lastTickNanos, sent, changed);
    }

    Standing withStanding(long since) {
      return new Standing(true, since, lastTickNanos, answeredSentNanos, alone);
    }

    Standing withoutStanding() {
      return new Standing(false, sinceEpochMillis, lastTickNanos, answeredSentNanos, alone);
    }
  }
}
