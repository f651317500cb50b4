package org.snipewick.idempotency;

import java.util.OptionalLong;
import java.util.UUID;

/** Extracts the creation time from a key that ends in a UUIDv7. */
final class KeyAge {
  /** Largest tolerated difference between the clocks of callers and instances. */
  static final long MAX_CLOCK_SKEW_MILLIS = 2_000;

  private static final int UUID_CHARS = 36;
  private static final int TIMESTAMP_SHIFT_BITS = 16;
  private static final int UUID_VERSION_WITH_TIMESTAMP = 7;

  private KeyAge() {}

  /** Returns the creation time in milliseconds since the Unix epoch, empty if the key has none. */
  static OptionalLong createdAtEpochMillis(String key) {
    if (key.length() < UUID_CHARS) {
      return OptionalLong.empty();
    }
    try {
      UUID uuid = UUID.fromString(key.substring(key.length() - UUID_CHARS));
      return uuid.version() == UUID_VERSION_WITH_TIMESTAMP
          ? OptionalLong.of(uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT_BITS)
          : OptionalLong.empty();
    } catch (IllegalArgumentException notUuid) {
      return OptionalLong.empty();
    }
  }

  /**
   * Returns the creation time in milliseconds since the Unix epoch; empty if the key has none or if
   * it lies further in the future than the tolerated clock difference.
   */
  static OptionalLong plausibleCreatedAtEpochMillis(String key, long nowEpochMillis) {
    OptionalLong created = createdAtEpochMillis(key);
    return created.isPresent() && created.getAsLong() <= nowEpochMillis + MAX_CLOCK_SKEW_MILLIS
        ? created
        : OptionalLong.empty();
  }

  /**
   * Returns the earliest time, in milliseconds since the Unix epoch, at which a key whose record is
   * still retained can have been claimed.
   */
  static long earliestClaimEpochMillis(String key, long nowEpochMillis, long retentionMillis) {
    long oldestEpochMillis = nowEpochMillis - retentionMillis;
    OptionalLong created = plausibleCreatedAtEpochMillis(key, nowEpochMillis);
    return created.isPresent()
        ? Math.max(oldestEpochMillis, created.getAsLong() - MAX_CLOCK_SKEW_MILLIS)
        : oldestEpochMillis;
  }
}
