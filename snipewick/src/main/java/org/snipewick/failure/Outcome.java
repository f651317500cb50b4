package org.snipewick.failure;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Whether a request ran, as reported to its caller. */
public enum Outcome {
  /** The request was not dispatched and will not be. */
  @JsonProperty("not-run")
  NOT_RUN("not-run"),
  /** The request was dispatched and its endpoint answered. */
  @JsonProperty("ran")
  RAN("ran"),
  /** The request may have been dispatched; it is never dispatched again. */
  @JsonProperty("unknown")
  UNKNOWN("unknown");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /**
   * Returns the text of this outcome in problem documents.
   *
   * @return {@code not-run}, {@code ran} or {@code unknown}
   */
  public String text() {
    return text;
  }
}
