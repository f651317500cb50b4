package org.snipewick.request;

import java.time.Duration;
import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.Tier;

/** Meaning of the headers that callers send; malformed ones fail with a typed failure. */
public final class CallerHeaders {
  /** Header with the bearer token of the team. */
  public static final String AUTHORIZATION = "authorization";

  /** Header with the asked class, 1 to 4. */
  public static final String CLASS = "snipewick-class";

  /** Header with the agreed time in milliseconds. */
  public static final String TIMEOUT = "snipewick-timeout-ms";

  /** Header with the idempotency key. */
  public static final String KEY = "idempotency-key";

  /** Longest agreed time that may be asked for, in milliseconds. */
  public static final long MAX_TIMEOUT_MILLIS = 600_000;

  private static final String BEARER = "bearer ";
  private static final int MAX_KEY_LENGTH = 128;

  private CallerHeaders() {}

  /**
   * Reads the bearer token.
   *
   * @param request request
   * @return token, empty if there is none
   */
  public static Optional<String> token(CallerRequest request) {
    return request
        .header(AUTHORIZATION)
        .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
        .map(value -> value.substring(BEARER.length()).trim())
        .filter(token -> !token.isEmpty());
  }

  /**
   * Decides the class of a request.
   *
   * @param request request
   * @param allowed highest tier that the team may ask for
   * @param usual tier of requests that ask for none
   * @return asked tier; if none is asked for the usual one, but none above the allowed
   * @throws FailureException with {@link FailureType#MALFORMED_REQUEST} or, above what is allowed,
   *     {@link FailureType#FORBIDDEN}
   */
  public static Tier tier(CallerRequest request, Tier allowed, Tier usual) {
    Optional<String> asked = request.header(CLASS);
    if (asked.isEmpty()) {
      return usual.isHigherThan(allowed) ? allowed : usual;
    }
    Tier tier = parseTier(asked.get().trim());
    if (tier.isHigherThan(allowed)) {
      throw refusal(
          FailureType.FORBIDDEN, "team may ask for class " + allowed.number() + " at most");
    }
    return tier;
  }

  /**
   * Decides the agreed time.
   *
   * @param request request
   * @param usual agreed time of requests that give none, in milliseconds
   * @return time from the receipt until the answer must be complete
   * @throws FailureException with {@link FailureType#MALFORMED_REQUEST}
   */
  public static Duration timeout(CallerRequest request, long usual) {
    Optional<String> asked = request.header(TIMEOUT);
    long millis = asked.map(text -> parseMillis(text.trim())).orElse(usual);
    return Duration.ofMillis(Math.min(millis, MAX_TIMEOUT_MILLIS));
  }

  /**
   * Reads the idempotency key.
   *
   * @param request request
   * @return key, empty if there is none
   * @throws FailureException with {@link FailureType#MALFORMED_REQUEST}
   */
  public static Optional<String> key(CallerRequest request) {
    return request.header(KEY).map(String::trim).map(CallerHeaders::checkKey);
  }

  /** Returns a key if it is one. */
  static String checkKey(String value) {
    if (!isKey(value)) {
      throw malformed(KEY + " must have 1 to " + MAX_KEY_LENGTH + " visible ASCII characters");
    }
    return value;
  }

  private static boolean isKey(String value) {
    return !value.isEmpty()
        && value.length() <= MAX_KEY_LENGTH
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
