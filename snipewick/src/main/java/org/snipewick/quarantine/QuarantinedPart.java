package org.snipewick.quarantine;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Part of prompts that requests must not contain.
 *
 * @param id identifier
 * @param crashes number of crashes of endpoints that it explains
 * @param sinceEpochMillis time of the first of them, in milliseconds since the Unix epoch
 * @param untilEpochMillis time of the release if there are no more crashes, in milliseconds since
 *     the Unix epoch
 */
public record QuarantinedPart(
    String id, int crashes, long sinceEpochMillis, long untilEpochMillis) {

  /** Checks that the identifier is not null. */
  public QuarantinedPart {
    requireNonNull(id, "id");
  }

  /**
   * Returns the time until the release.
   *
   * @param nowEpochMillis current time in milliseconds since the Unix epoch
   * @return time, at least a second
   */
  public Duration timeLeft(long nowEpochMillis) {
    return Duration.ofMillis(
        Math.max(Duration.ofSeconds(1).toMillis(), untilEpochMillis - nowEpochMillis));
  }
}
