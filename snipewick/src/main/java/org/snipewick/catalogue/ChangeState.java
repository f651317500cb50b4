package org.snipewick.catalogue;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of a proposed change. */
public enum ChangeState {
  /** It was accepted and created its version. */
  @JsonProperty("accepted")
  ACCEPTED,
  /** Another change created its version; it never takes effect. */
  @JsonProperty("not-accepted")
  NOT_ACCEPTED,
  /** It has not taken effect but still may. */
  @JsonProperty("unknown")
  UNKNOWN
}
