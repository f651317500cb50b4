package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** Result of a claim or a lookup of a key. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "state")
@JsonSubTypes({
  @JsonSubTypes.Type(value = KeyState.Fresh.class, name = "fresh"),
  @JsonSubTypes.Type(value = KeyState.InProgress.class, name = "in-progress"),
  @JsonSubTypes.Type(value = KeyState.Ran.class, name = "ran"),
  @JsonSubTypes.Type(value = KeyState.RanWithoutAnswer.class, name = "ran-without-answer"),
  @JsonSubTypes.Type(value = KeyState.Unknown.class, name = "unknown")
})
public sealed interface KeyState {

  /** No other request with this key was or will be dispatched. */
  record Fresh() implements KeyState {}

  /** A request with this key is being processed by a live instance. */
  record InProgress() implements KeyState {}

  /**
   * A request with this key was answered.
   *
   * @param answer the answer
   */
  record Ran(StoredAnswer answer) implements KeyState {

    /** Rejects a null answer. */
    public Ran {
      requireNonNull(answer, "answer");
    }
  }

  /** A request with this key was answered; its answer was too large or too old to be stored. */
  record RanWithoutAnswer() implements KeyState {}

  /** A request with this key may have been dispatched; no further one will be. */
  record Unknown() implements KeyState {}
}
