package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What is remembered of a key. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "state")
@JsonSubTypes({
  @JsonSubTypes.Type(value = KeyState.Fresh.class, name = "fresh"),
  @JsonSubTypes.Type(value = KeyState.InProgress.class, name = "in-progress"),
  @JsonSubTypes.Type(value = KeyState.Ran.class, name = "ran"),
  @JsonSubTypes.Type(value = KeyState.RanWithoutAnswer.class, name = "ran-without-answer"),
  @JsonSubTypes.Type(value = KeyState.Unknown.class, name = "unknown")
})
public sealed interface KeyState {

  /** No call with this key was or will be dispatched by anyone else. */
  record Fresh() implements KeyState {}

  /** A call with this key is on its way at a live instance. */
  record InProgress() implements KeyState {}

  /**
   * A call with this key was answered.
   *
   * @param answer the answer
   */
  record Ran(StoredAnswer answer) implements KeyState {

    /** Checks the answer. */
    public Ran {
      requireNonNull(answer, "answer");
    }
  }

  /** A call with this key was answered; the answer was too large or too old to keep. */
  record RanWithoutAnswer() implements KeyState {}

  /** A call with this key may have been dispatched; none will be again. */
  record Unknown() implements KeyState {}
}
