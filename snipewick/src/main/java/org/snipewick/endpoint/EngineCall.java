package org.snipewick.endpoint;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.snipewick.identity.RequestId;
import org.snipewick.pool.EndpointStatus;

/**
 * One dispatch of a model request to an engine.
 *
 * @param id identifier of the dispatch
 * @param endpoint engine that it goes to
 * @param key idempotency key of the caller, empty if none was given
 * @param body request in the chat completions format; not copied and not to be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record EngineCall(RequestId id, EndpointStatus endpoint, Optional<String> key, byte[] body) {

  /** Checks the parts. */
  public EngineCall {
    requireNonNull(id, "id");
    requireNonNull(endpoint, "endpoint");
    requireNonNull(key, "key");
    requireNonNull(body, "body");
  }
}
