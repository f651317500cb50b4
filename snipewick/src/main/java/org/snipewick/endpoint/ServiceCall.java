package org.snipewick.endpoint;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import org.snipewick.identity.RequestId;
import org.snipewick.pool.EndpointStatus;

/**
 * Single dispatch of a request to a plain service.
 *
 * @param dispatchId identifier of the dispatch
 * @param endpoint replica of the service that receives the request
 * @param method HTTP method in upper case
 * @param pathAndQuery path within the service, starting with a slash, and query string if any
 * @param headers request headers to forward, by lower-case name
 * @param idempotencyKey idempotency key of the caller, empty if none was given
 * @param body request body; it is not copied and must not be modified
 * @param maxBodyBytes largest response body that is accepted, in bytes
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServiceCall(
    RequestId dispatchId,
    EndpointStatus endpoint,
    String method,
    String pathAndQuery,
    Map<String, String> headers,
    Optional<String> idempotencyKey,
    byte[] body,
    int maxBodyBytes) {

  /** Checks that no component is null and copies the headers. */
  public ServiceCall {
    requireNonNull(dispatchId, "dispatchId");
    requireNonNull(endpoint, "endpoint");
    requireNonNull(method, "method");
    requireNonNull(pathAndQuery, "pathAndQuery");
    requireNonNull(idempotencyKey, "idempotencyKey");
    requireNonNull(body, "body");
    headers = Map.copyOf(headers);
  }
}
