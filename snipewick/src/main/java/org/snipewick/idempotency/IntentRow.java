package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.module.paramnames.ParameterNamesModule;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.snipewick.identity.RequestId;

/**
 * Row that is written to the platform's table before an action is dispatched.
 *
 * @param fingerprint hash of the request
 * @param request request that may be dispatched
 * @param token random value that identifies the writer of the row
 * @param state state of the request
 * @param answer its answer, empty if it is not stored
 * @param createdAtEpochMillis when the row was written, in milliseconds since the Unix epoch
 */
record IntentRow(
    String fingerprint,
    RequestId request,
    String token,
    State state,
    Optional<StoredAnswer> answer,
    long createdAtEpochMillis) {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .addModule(new ParameterNamesModule())
          .build();

  IntentRow {
    requireNonNull(fingerprint, "fingerprint");
    requireNonNull(request, "request");
    requireNonNull(token, "token");
    requireNonNull(state, "state");
    requireNonNull(answer, "answer");
  }

  static IntentRow of(KeyedRequest request, String token, long nowEpochMillis) {
    return new IntentRow(
        request.fingerprint(), request.id(), token, State.INTENT, Optional.empty(), nowEpochMillis);
  }

  IntentRow withOutcome(State changed, Optional<StoredAnswer> stored) {
    return new IntentRow(fingerprint, request, token, changed, stored, createdAtEpochMillis);
  }

  String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Parses a row; returns empty if the text is not an intent row. */
  static Optional<IntentRow> parse(String json) {
    try {
      return Optional.of(MAPPER.readValue(json, IntentRow.class));
    } catch (JsonProcessingException failure) {
      return Optional.empty();
    }
  }

  /** State of the request. */
  enum State {
    /** The request may have been dispatched and has not ended. */
    INTENT,
    /** The request was answered. */
    RAN,
    /** The request may have been dispatched; its outcome is not known. */
    UNKNOWN
  }
}
