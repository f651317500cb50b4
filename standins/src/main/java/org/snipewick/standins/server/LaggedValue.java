package org.snipewick.standins.server;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value that can be read as it was some time ago.
 *
 * @param <T> type of the value, not null
 */
public final class LaggedValue<T> {
  private static final long RETENTION_MILLIS = 60_000;
  private static final int MAX_VERSIONS = 1_000;

  private final Deque<Version<T>> versions = new ArrayDeque<>();

  /**
   * Creates a value.
   *
   * @param initial value that has held for ever
   */
  public LaggedValue(T initial) {
    versions.add(new Version<>(Long.MIN_VALUE, initial));
  }

  /**
   * Changes the value.
   *
   * @param nowMillis current time in milliseconds
   * @param value new value
   */
  public void set(long nowMillis, T value) {
    versions.addLast(new Version<>(nowMillis, value));
    while (versions.size() > MAX_VERSIONS || secondIsOlderThan(nowMillis - RETENTION_MILLIS)) {
      versions.removeFirst();
    }
  }

  /**
   * Returns the newest value.
   *
   * @return value
   */
  public T get() {
    return versions.getLast().value();
  }

  /**
   * Returns the value that held at a time.
   *
   * @param timeMillis time in milliseconds
   * @return value, the oldest one kept if the time lies before it
   */
  public T at(long timeMillis) {
    T found = versions.getFirst().value();
    for (Version<T> version : versions) {
      if (version.sinceMillis() > timeMillis) {
        break;
      }
      found = version.value();
    }
    return found;
  }

  private boolean secondIsOlderThan(long timeMillis) {
    return versions.stream()
        .skip(1)
        .findFirst()
        .filter(second -> second.sinceMillis() < timeMillis)
        .isPresent();
  }

  private record Version<T>(long sinceMillis, T value) {}
}
