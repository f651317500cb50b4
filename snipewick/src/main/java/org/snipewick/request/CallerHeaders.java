package org.snipewick.request;

import java.time.Duration;
import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.Tier;

/** Parser of the headers that callers send; throws {@link FailureException} if one is malformed. */
public final class CallerHeaders {
  /** Header with the bearer token of the team. */
  public static final String AUTHORIZATION = "authorization";

  /** Header with the requested tier, named class for callers: 1 (highest) to 4 (lowest). */
  public static final String CLASS = "snipewick-class";

  /** Header with the timeout of the request, in milliseconds. */
  public static final String TIMEOUT = "snipewick-timeout-ms";

  /** Header with the idempotency key. */
  public static final String KEY = "idempotency-key";

  /** Longest timeout of a request, in milliseconds. */
  public static final long MAX_TIMEOUT_MILLIS = 600_000;

  private static final String BEARER_PREFIX = "bearer ";
  private static final int MAX_KEY_CHARACTERS = 128;

  private CallerHeaders() {}

  /**
   * Returns the bearer token of a request.
   *
   * @param request request
   * @return token, empty if there is none
   */
  public static Optional<String> token(CallerRequest request) {
    return request
        .header(AUTHORIZATION)
        .filter(value -> value.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length()))
        .map(value -> value.substring(BEARER_PREFIX.length()).trim())
        .filter(token -> !token.isEmpty());
  }

  /**
   * Returns the tier of a request.
   *
   * @param request request
   * @param allowed highest tier that the team may request
   * @param defaultTier tier of requests without the header
   * @return requested tier; without the header, the default tier or the highest allowed one,
   *     whichever is lower
   * @throws FailureException with {@link FailureType#MALFORMED_REQUEST} if the header is malformed,
   *     {@link FailureType#FORBIDDEN} if the requested tier is higher than the allowed one
   */
  public static Tier tier(CallerRequest request, Tier allowed, Tier defaultTier) {
    Optional<String> requested = request.header(CLASS);
    if (requested.isEmpty()) {
      return defaultTier.isHigherThan(allowed) ? allowed : defaultTier;
    }
    Tier tier = parseTier(requested.get().trim());
    if (tier.isHigherThan(allowed)) {
      throw refusal(
          FailureType.FORBIDDEN, "team may request class " + allowed.number() + " at most");
    }
    return tier;
  }

  /**
   * Returns the timeout of a request.
   *
   * @param request request
   * @param defaultMillis timeout of requests without the header, in milliseconds
   * @return time from the receipt until the answer must be complete, at most {@link
   *     #MAX_TIMEOUT_MILLIS}
   * @throws FailureException with {@link FailureType#MALFORMED_REQUEST} if the header is malformed
   */
  public static Duration timeout(CallerRequest request, long defaultMillis) {
    Optional<String> requested = request.header(TIMEOUT);
    long millis = requested.map(text -> parseMillis(text.trim())).orElse(defaultMillis);
    return Duration.ofMillis(Math.min(millis, MAX_TIMEOUT_MILLIS));
  }

  /**
   * Returns the idempotency key of a request.
   *
   * @param request request
   * @return key, empty if there is none
   * @throws FailureException with {@link FailureType#MALFORMED_REQUEST} if the key is not 1 to 128
   *     visible ASCII characters
   */
  public static Optional<String> key(CallerRequest request) {
    return request.header(KEY).map(String::trim).map(CallerHeaders::checkKey);
  }

  /** Returns the key, or throws a {@link FailureException} if it is not valid. */
  static String checkKey(String value) {
    if (!isKey(value)) {
      throw malformed(KEY + " must have 1 to " + MAX_KEY_CHARACTERS + " visible ASCII characters");
    }
    return value;
  }

  private static boolean isKey(String value) {
    return !value.isEmpty()
        && value.length() <= MAX_KEY_CHARACTERS
        && value.chars().allMatch(character -> character > ' ' && character < 127);
  }

  private static Tier parseTier(String text) {
    try {
      return Tier.of(Integer.parseInt(text));
    } catch (IllegalArgumentException malformed) {
      throw malformed(CLASS + " must be 1, 2, 3 or 4");
    }
  }

  private static long parseMillis(String text) {
    try {
      long millis = Long.parseLong(text);
      if (millis >= 1 && millis <= MAX_TIMEOUT_MILLIS) {
        return millis;
      }
    } catch (NumberFormatException malformed) {
      throw malformed(TIMEOUT + " must be a whole number of milliseconds");
    }
    throw malformed(TIMEOUT + " must be 1 to " + MAX_TIMEOUT_MILLIS);
  }

  private static FailureException malformed(String detail) {
    return refusal(FailureType.MALFORMED_REQUEST, detail);
  }

  private static FailureException refusal(FailureType type, String detail) {
    return Failure.notRun(type, detail).toException();
  }
}
