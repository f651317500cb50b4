package org.snipewick.standins.server;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value that can be read as it was at an earlier time. Keeps the versions of the last 60 s, but
 * at most 1000. Not safe for use by several threads.
 *
 * @param <T> type of the value, not null
 */
public final class LaggedValue<T> {
  private static final long RETENTION_MILLIS = 60_000;
  private static final int MAX_VERSIONS = 1_000;

  private final Deque<Version<T>> versions = new ArrayDeque<>();

  /**
   * Creates a value without earlier versions.
   *
   * @param initial value at all times before the first change
   */
  public LaggedValue(T initial) {
    versions.add(new Version<>(Long.MIN_VALUE, initial));
  }

  /**
   * Changes the value.
   *
   * @param nowEpochMillis current time in milliseconds since the epoch, not before that of earlier
   *     calls
   * @param value new value
   */
  public void set(long nowEpochMillis, T value) {
    versions.addLast(new Version<>(nowEpochMillis, value));
    while (versions.size() > MAX_VERSIONS
        || isSecondVersionOlderThan(nowEpochMillis - RETENTION_MILLIS)) {
      versions.removeFirst();
    }
  }

  /**
   * Returns the current value.
   *
   * @return value
   */
  public T get() {
    return versions.getLast().value();
  }

  /**
   * Returns the value at a time.
   *
   * @param epochMillis time in milliseconds since the epoch
   * @return value at that time, the oldest kept one if the time lies before it
   */
  public T at(long epochMillis) {
    T found = versions.getFirst().value();
    for (Version<T> version : versions) {
      if (version.sinceEpochMillis() > epochMillis) {
        break;
      }
      found = version.value();
    }
    return found;
  }

  /** Returns whether the first version was replaced before a time and can be dropped. */
  private boolean isSecondVersionOlderThan(long epochMillis) {
    return versions.stream()
        .skip(1)
        .findFirst()
        .filter(second -> second.sinceEpochMillis() < epochMillis)
        .isPresent();
  }

  private record Version<T>(long sinceEpochMillis, T value) {}
}
