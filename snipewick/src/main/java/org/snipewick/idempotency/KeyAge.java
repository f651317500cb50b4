package org.snipewick.idempotency;

import java.util.OptionalLong;
import java.util.UUID;

/** Reads the time of creation that a UUIDv7 key carries. */
final class KeyAge {
  /** Largest difference between the clocks of callers and instances that is allowed for. */
  static final long CLOCK_MARGIN_MILLIS = 2_000;

  private static final int UUID_LENGTH = 36;
  private static final int TIME_SHIFT_BITS = 16;
  private static final int TIME_ORDERED_VERSION = 7;

  private KeyAge() {}

  /** Returns the creation time in milliseconds since the Unix epoch, empty if it is not carried. */
  static OptionalLong createdAtEpochMillis(String key) {
    if (key.length() < UUID_LENGTH) {
      return OptionalLong.empty();
    }
    try {
      UUID uuid = UUID.fromString(key.substring(key.length() - UUID_LENGTH));
      return uuid.version() == TIME_ORDERED_VERSION
          ? OptionalLong.of(uuid.getMostSignificantBits() >>> TIME_SHIFT_BITS)
          : OptionalLong.empty();
    } catch (IllegalArgumentException notUuid) {
      return OptionalLong.empty();
    }
  }

  /** Returns the creation time, unless it lies in the future and is therefore not to be trusted. */
  static OptionalLong credibleAtEpochMillis(String key, long nowEpochMillis) {
    OptionalLong created = createdAtEpochMillis(key);
    return created.isPresent() && created.getAsLong() <= nowEpochMillis + CLOCK_MARGIN_MILLIS
        ? created
        : OptionalLong.empty();
  }

  /** Returns the earliest time at which a key that is still remembered can have been claimed. */
  static long earliestClaimEpochMillis(String key, long nowEpochMillis, long retentionMillis) {
    long oldest = nowEpochMillis - retentionMillis;
    OptionalLong created = credibleAtEpochMillis(key, nowEpochMillis);
    return created.isPresent()
        ? Math.max(oldest, created.getAsLong() - CLOCK_MARGIN_MILLIS)
        : oldest;
  }
}
