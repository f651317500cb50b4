package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.time.TimerService;

/**
 * Newest era of the store that this process has seen. A store that is restored from an older copy
 * loses its latest writes and assigns their versions again; each restore starts an era. Versions
 * are comparable only within an era. Thread-safe.
 */
public final class EraTracker {
  /** Era of a store that names none, lower than any that a store can name. */
  public static final long NO_ERA = -1;

  /**
   * Highest era that is accepted. Together with {@link #INCARNATIONS_PER_ERA} it keeps incarnations
   * within 63 bits.
   */
  private static final long MAX_ERA = (1L << 22) - 1;

  /** Highest number of versions that a restore may take back. */
  private static final long INCARNATIONS_PER_ERA = 1L << 40;

  /**
   * Highest era that may be the first one of a store; the platform does not specify whether it
   * counts from 0 or from 1.
   */
  private static final long MAX_FIRST_ERA = 1;

  private final TimerService timer;
  private final EventLog events;
  private final List<Runnable> subscribers = new CopyOnWriteArrayList<>();
  private long newest = NO_ERA;
  private boolean hasSeenAny;
  private boolean hasSeenRestore;
  private boolean isInvalidRecorded;

  private EraTracker(TimerService timer, EventLog events) {
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
  }

  /**
   * Creates a tracker that has seen no response.
   *
   * @param timer runs the subscribers
   * @param events log to which new eras and invalid ones are written
   * @return tracker
   */
  public static EraTracker of(TimerService timer, EventLog events) {
    return new EraTracker(timer, events);
  }

  /**
   * Decodes the era that a response names.
   *
   * @param header value of the header; null if the response has none
   * @return era; {@link #NO_ERA} if there is none or it is invalid
   */
  public long decode(String header) {
    if (header == null) {
      return NO_ERA;
    }
    try {
      long era = Long.parseLong(header.trim());
      if (era >= 0 && era <= MAX_ERA) {
        return era;
      }
    } catch (NumberFormatException invalid) {
      // Recorded below, as a number out of range is.
    }
    recordInvalid(header);
    return NO_ERA;
  }

  private synchronized void recordInvalid(String header) {
    if (!isInvalidRecorded) {
      isInvalidRecorded = true;
      events.record(EventType.STORE_ERA_INVALID, "", Map.of("value", header));
    }
  }

  /**
   * Records the era of a response.
   *
   * @param era era that the response names, or {@link #NO_ERA}
   * @return whether the response counts; false if a newer era has been seen
   */
  public boolean observe(long era) {
    synchronized (this) {
      if (era < newest) {
        return false;
      }
      if (era == newest) {
        hasSeenAny = true;
        return true;
      }
      hasSeenRestore |= hasSeenAny;
      hasSeenAny = true;
      long previous = newest;
      newest = era;
      if (!hasSeenRestore) {
        return true;
      }
      events.record(EventType.STORE_ERA_CHANGED, "", Map.of("era", era, "previous", previous));
    }
    // Subscribers run later, as they may send calls while the response is being decoded.
    subscribers.forEach(subscriber -> timer.after(Duration.ZERO, subscriber));
    return true;
  }

  /**
   * Returns the newest era.
   *
   * @return newest era seen; {@link #NO_ERA} if the store names none
   */
  public synchronized long newest() {
    return newest;
  }

  /**
   * Returns whether a row that is absent can have been lost in a restore.
   *
   * @return false if the store is in its first era as far as this process can tell
   */
  public synchronized boolean mayHaveLostRows() {
    return hasSeenRestore || newest > MAX_FIRST_ERA;
  }

  /**
   * Returns the incarnation of a process whose registration has just been written. It is higher
   * than those of all earlier processes of the instance, also if the store has assigned versions
   * again since.
   *
   * @param version version of the row of the registration in the newest era
   * @return incarnation; the version itself if the store names no era
   */
  public synchronized long incarnation(long version) {
    return version + Math.max(0, newest) * INCARNATIONS_PER_ERA;
  }

  /**
   * Adds a subscriber.
   *
   * @param subscriber task that runs on the timer's thread shortly after a new era was seen; not
   *     for the first era
   */
  public void onNewEra(Runnable subscriber) {
    subscribers.add(requireNonNull(subscriber, "subscriber"));
  }
}
