package org.snipewick.failure;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What is promised about whether a request ran. */
public enum Outcome {
  /** It is proved that the request was not and will not be dispatched. */
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
   * Returns the published form.
   *
   * @return {@code not-run}, {@code ran} or {@code unknown}
   */
  public String text() {
    return text;
  }
}
