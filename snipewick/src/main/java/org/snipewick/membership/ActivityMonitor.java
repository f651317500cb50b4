package org.snipewick.membership;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.time.TimerService;

/**
 * Decides whether this instance is active. It becomes active when all peers of its failure domain
 * have acknowledged one of its heartbeat rounds. It remains active while its rounds run in time and
 * at least one peer acknowledges them. An instance without peers needs no acknowledgements.
 *
 * <p>Only the timer's thread changes the state. {@link #isActive} may be called on any thread and
 * compares with the clock, so that a process that was paused is inactive as soon as it runs again.
 */
final class ActivityMonitor {
  /**
   * Number of the latest heartbeat rounds whose acknowledgements count; those of older rounds are
   * ignored.
   */
  private static final int TRACKED_ROUNDS = 8;

  private final MembershipSettings settings;
  private final TimerService timer;
  private final EventLog log;
  private final AtomicReference<ActivityState> state;
  private final long[] roundSentNanos = new long[TRACKED_ROUNDS];
  private long sequence;
  private long firstCountedRound;
  private long firstOwnRound;

  ActivityMonitor(MembershipSettings settings, TimerService timer, EventLog log, long sequence) {
    this.settings = settings;
    this.timer = timer;
    this.log = log;
    this.sequence = sequence;
    this.firstCountedRound = sequence + 1;
    this.firstOwnRound = sequence + 1;
    this.state = new AtomicReference<>(new ActivityState(false, 0, timer.nanoTime(), 0, false));
  }

  /** Starts a heartbeat round; returns false if this process was paused and became inactive. */
  boolean beginRound() {
    long now = timer.nanoTime();
    ActivityState before = state.get();
    boolean inTime = !isRoundOverdue(before, now);
    if (!inTime) {
      deactivate("paused");
    }
    sequence++;
    roundSentNanos[(int) (sequence % TRACKED_ROUNDS)] = now;
    state.updateAndGet(current -> current.withRound(now));
    return inTime;
  }

  /**
   * Returns whether less than a quarter of the heartbeat period has passed since the last round, so
   * that another round would be redundant.
   */
  boolean isTooEarlyForRound() {
    long sinceLast = timer.nanoTime() - state.get().lastRoundNanos();
    return sinceLast < settings.heartbeatPeriod().toNanos() / 4;
  }

  /** Returns the number of the current round. */
  long sequence() {
    return sequence;
  }

  /** Returns whether a sequence number is that of a round of this process. */
  boolean isOwnRound(long acknowledged) {
    return acknowledged >= firstOwnRound && acknowledged <= sequence;
  }

  /** Records that a local peer acknowledged a round. */
  void recordAcknowledgement(long acknowledged) {
    if (isOwnRound(acknowledged) && sequence - acknowledged < TRACKED_ROUNDS) {
      long sent = roundSentNanos[(int) (acknowledged % TRACKED_ROUNDS)];
      state.updateAndGet(current -> current.withAcknowledgement(sent));
    }
  }

  /** Makes this instance inactive until a later round is acknowledged by all local peers. */
  void deactivate(String reason) {
    firstCountedRound = sequence + 1;
    ActivityState before = state.getAndUpdate(ActivityState::withInactive);
    if (before.active()) {
      log.record(EventType.STANDING_LOST, "", Map.of("reason", reason));
    }
  }

  /**
   * Activates this instance when all local peers have acknowledged a round since the last
   * deactivation, and deactivates it when no recent round was acknowledged.
   */
  void evaluate(Collection<MemberRecord> localPeers) {
    boolean alone = localPeers.isEmpty();
    long now = timer.nanoTime();
    ActivityState current = state.updateAndGet(before -> before.withAlone(alone, now));
    if (current.active()) {
      if (!hasRecentAcknowledgement(current)) {
        deactivate("no answer");
      }
      return;
    }
    boolean complete =
        sequence >= firstCountedRound
            && localPeers.stream()
                .allMatch(peer -> peer.acknowledgedSequence() >= firstCountedRound);
    if (complete && hasRecentAcknowledgement(current)) {
      long since = timer.epochMillis();
      state.updateAndGet(before -> before.withActive(since));
      log.record(EventType.STANDING_GAINED, "", Map.of("sinceEpochMillis", since));
    }
  }

  /** Returns whether a local peer must acknowledge a round before this instance becomes active. */
  boolean awaitsAcknowledgement(MemberRecord peer) {
    return !state.get().active() && peer.acknowledgedSequence() < firstCountedRound;
  }

  boolean isActive() {
    ActivityState current = state.get();
    return current.active()
        && !isRoundOverdue(current, timer.nanoTime())
        && hasRecentAcknowledgement(current);
  }

  private boolean isRoundOverdue(ActivityState current, long now) {
    return now - current.lastRoundNanos() > settings.activityTimeout().toNanos();
  }

  long activeSinceEpochMillis() {
    return state.get().activeSinceEpochMillis();
  }

  private boolean hasRecentAcknowledgement(ActivityState current) {
    return current.alone()
        || timer.nanoTime() - current.acknowledgedRoundNanos()
            <= settings.acknowledgementTimeout().toNanos();
  }

  /**
   * Immutable state of the monitor. Nanosecond values are times on the monotonic clock.
   *
   * @param active whether a round was completed since the last deactivation
   * @param activeSinceEpochMillis when this instance last became active
   * @param lastRoundNanos when the last round began
   * @param acknowledgedRoundNanos when the newest acknowledged round began
   * @param alone whether there is no local peer that could acknowledge
   */
  private record ActivityState(
      boolean active,
      long activeSinceEpochMillis,
      long lastRoundNanos,
      long acknowledgedRoundNanos,
      boolean alone) {

    ActivityState withRound(long now) {
      return new ActivityState(active, activeSinceEpochMillis, now, acknowledgedRoundNanos, alone);
    }

    ActivityState withAcknowledgement(long sent) {
      long newest = acknowledgedRoundNanos - sent > 0 ? acknowledgedRoundNanos : sent;
      return new ActivityState(active, activeSinceEpochMillis, lastRoundNanos, newest, alone);
    }

    /**
     * Sets whether there are no local peers. When a first peer appears, the acknowledgement timeout
     * starts now: the peer has had no time to acknowledge, nor to declare this instance dead.
     */
    ActivityState withAlone(boolean changed, long now) {
      long sent = alone && !changed ? now : acknowledgedRoundNanos;
      return new ActivityState(active, activeSinceEpochMillis, lastRoundNanos, sent, changed);
    }

    ActivityState withActive(long since) {
      return new ActivityState(true, since, lastRoundNanos, acknowledgedRoundNanos, alone);
    }

    ActivityState withInactive() {
      return new ActivityState(
          false, activeSinceEpochMillis, lastRoundNanos, acknowledgedRoundNanos, alone);
    }
  }
}
