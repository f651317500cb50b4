package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import java.util.Locale;
import java.util.Set;

/**
 * Names of the headers that the relay reads or sets, which differ between platforms. Each component
 * is described by the value of the header that it names.
 *
 * @param requestId identifier that the caller gives each of its attempts; endpoints echo it
 * @param timeLeftMillis milliseconds until the caller's deadline; the relay replaces them by the
 *     time that is left when it sends the request to an endpoint
 * @param apiKey API key, which identifies the caller's team
 * @param team name of the team, set for the endpoint
 * @param expectedEndpoint name of the only endpoint that may run the request
 * @param tokens number of prompt tokens and maximum number of output tokens, separated by a comma
 * @param promptParts parts of the prompt in order, as comma-separated pairs of identifier and
 *     number of tokens
 * @param signature signature of the endpoint, which each successful response must have
 * @param load numbers of running requests, queued requests and slots of the endpoint, and for some
 *     endpoints how long work takes now in percent of the usual time, separated by commas
 * @param notRun present in the response of an endpoint that did not run the request
 * @param leaving present in all responses of an endpoint that is leaving
 * @param requestLimit requests per second that the endpoint takes from all instances together, a
 *     decimal number
 * @param lastEventId identifier of the last event that the receiver of a stream has received
 * @param reservedNames names of headers, in lower case, that are not forwarded from callers
 * @param reservedPrefixes prefixes of such names, in lower case
 */
public record HeaderNames(
    String requestId,
    String timeLeftMillis,
    String apiKey,
    String team,
    String expectedEndpoint,
    String tokens,
    String promptParts,
    String signature,
    String load,
    String notRun,
    String leaving,
    String requestLimit,
    String lastEventId,
    Set<String> reservedNames,
    Set<String> reservedPrefixes) {

  /** Checks and copies the components. */
  public HeaderNames {
    requireNonNull(requestId, "requestId");
    requireNonNull(timeLeftMillis, "timeLeftMillis");
    requireNonNull(apiKey, "apiKey");
    requireNonNull(team, "team");
    requireNonNull(expectedEndpoint, "expectedEndpoint");
    requireNonNull(tokens, "tokens");
    requireNonNull(promptParts, "promptParts");
    requireNonNull(signature, "signature");
    requireNonNull(load, "load");
    requireNonNull(notRun, "notRun");
    requireNonNull(leaving, "leaving");
    requireNonNull(requestLimit, "requestLimit");
    requireNonNull(lastEventId, "lastEventId");
    reservedNames = Set.copyOf(reservedNames);
    reservedPrefixes = Set.copyOf(reservedPrefixes);
  }

  /** Returns whether a header must not be forwarded from a caller to an endpoint. */
  boolean isReserved(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    return reservedNames.contains(lower) || reservedPrefixes.stream().anyMatch(lower::startsWith);
  }
}
