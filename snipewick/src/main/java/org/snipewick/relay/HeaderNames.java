package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import java.util.Locale;
import java.util.Set;

/**
 * Names of the headers that the front reads or sets, as the deployment calls them.
 *
 * @param requestId identifies an attempt of a caller; endpoints echo it
 * @param timeLeftMillis how long the caller will wait, on the way to the endpoint what is left
 * @param key key of the caller's team
 * @param team name of the team, set for the endpoint
 * @param expectedEndpoint name of the only endpoint that may run the request
 * @param tokens number of prompt tokens and most output tokens, separated by a comma
 * @param signature proof of the endpoint that an answer is its own
 * @param load running and waiting requests and slots of the endpoint, separated by commas
 * @param notRun on answers of an endpoint that did not run the request
 * @param lastEventId last event that the receiver of a stream has
 * @param reservedNames names of headers, in lower case, that callers may not set
 * @param reservedPrefixes beginnings of such names, in lower case
 */
public record HeaderNames(
    String requestId,
    String timeLeftMillis,
    String key,
    String team,
    String expectedEndpoint,
    String tokens,
    String signature,
    String load,
    String notRun,
    String lastEventId,
    Set<String> reservedNames,
    Set<String> reservedPrefixes) {

  /** Checks and copies the parts. */
  public HeaderNames {
    requireNonNull(requestId, "requestId");
    requireNonNull(timeLeftMillis, "timeLeftMillis");
    requireNonNull(key, "key");
    requireNonNull(team, "team");
    requireNonNull(expectedEndpoint, "expectedEndpoint");
    requireNonNull(tokens, "tokens");
    requireNonNull(signature, "signature");
    requireNonNull(load, "load");
    requireNonNull(notRun, "notRun");
    requireNonNull(lastEventId, "lastEventId");
    reservedNames = Set.copyOf(reservedNames);
    reservedPrefixes = Set.copyOf(reservedPrefixes);
  }

  /** Tells whether a header of a caller must not reach an endpoint. */
  boolean isReserved(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    return reservedNames.contains(lower) || reservedPrefixes.stream().anyMatch(lower::startsWith);
  }
}
