package org.snipewick.endpoint;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.snipewick.identity.RequestId;
import org.snipewick.pool.EndpointStatus;

/**
 * Single dispatch of a model request to an engine.
 *
 * @param dispatchId identifier of the dispatch
 * @param endpoint engine that receives the request
 * @param idempotencyKey idempotency key of the caller, empty if none was given
 * @param body request in the chat completions format; it is not copied and must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record EngineCall(
    RequestId dispatchId, EndpointStatus endpoint, Optional<String> idempotencyKey, byte[] body) {

  /** Checks that no component is null. */
  public EngineCall {
    requireNonNull(dispatchId, "dispatchId");
    requireNonNull(endpoint, "endpoint");
    requireNonNull(idempotencyKey, "idempotencyKey");
    requireNonNull(body, "body");
  }
}
