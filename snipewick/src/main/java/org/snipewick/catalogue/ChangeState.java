package org.snipewick.catalogue;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of a proposed change. */
public enum ChangeState {
  /** The change was accepted and created its version. */
  @JsonProperty("accepted")
  ACCEPTED,
  /** Another change created its version; the change never takes effect. */
  @JsonProperty("not-accepted")
  NOT_ACCEPTED,
  /** No change that created its version was found; the change may still take effect. */
  @JsonProperty("unknown")
  UNKNOWN
}
