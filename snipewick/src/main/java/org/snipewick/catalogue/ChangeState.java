package org.snipewick.catalogue;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What has become of a change. */
public enum ChangeState {
  /** It made its version. */
  @JsonProperty("accepted")
  ACCEPTED,
  /** Another change made its version; it never takes effect. */
  @JsonProperty("not-accepted")
  NOT_ACCEPTED,
  /** It has not taken effect and still may. */
  @JsonProperty("unknown")
  UNKNOWN
}
