package org.snipewick.endpoint;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import org.snipewick.identity.RequestId;
import org.snipewick.pool.EndpointStatus;

/**
 * One dispatch of a call to a plain service.
 *
 * @param id identifier of the dispatch
 * @param endpoint replica of the service that it goes to
 * @param method HTTP method in upper case
 * @param pathAndQuery path within the service, starting with a slash, and query
 * @param headers headers that are passed on, by lower-case name
 * @param key idempotency key of the caller, empty if none was given
 * @param body body; not copied and not to be changed
 * @param maxBodyBytes largest body of an answer, in bytes
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServiceCall(
    RequestId id,
    EndpointStatus endpoint,
    String method,
    String pathAndQuery,
    Map<String, String> headers,
    Optional<String> key,
    byte[] body,
    int maxBodyBytes) {

  /** Checks and copies the parts. */
  public ServiceCall {
    requireNonNull(id, "id");
    requireNonNull(endpoint, "endpoint");
    requireNonNull(method, "method");
    requireNonNull(pathAndQuery, "pathAndQuery");
    requireNonNull(key, "key");
    requireNonNull(body, "body");
    headers = Map.copyOf(headers);
  }
}
