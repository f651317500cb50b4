package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;

/**
 * A call with an idempotency key.
 *
 * @param id this call
 * @param team team of the caller; keys of different teams never meet
 * @param key idempotency key as given by the caller
 * @param fingerprint hash of method, path and body; a repeat must have the same
 * @param action whether the call has effects that must not be doubled (booking, confirmation)
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record KeyedRequest(
    RequestId id, TeamName team, String key, String fingerprint, boolean action) {

  /** Checks the parts. */
  public KeyedRequest {
    requireNonNull(id, "id");
    requireNonNull(team, "team");
    requireNonNull(key, "key");
    requireNonNull(fingerprint, "fingerprint");
  }

  /**
   * Returns the key as it is remembered.
   *
   * @return team and key
   */
  public String scopedKey() {
    return team + "/" + key;
  }
}
