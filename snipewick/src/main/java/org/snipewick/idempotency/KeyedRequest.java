package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;

/**
 * A request with an idempotency key.
 *
 * @param id identifier of this request; differs between duplicates
 * @param team team of the caller; equal keys of different teams are independent
 * @param key idempotency key as given by the caller
 * @param fingerprint hash of method, path and body; must be the same in a duplicate request
 * @param action whether the request has effects that must not occur twice (booking, confirmation)
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record KeyedRequest(
    RequestId id, TeamName team, String key, String fingerprint, boolean action) {

  /** Rejects null components. */
  public KeyedRequest {
    requireNonNull(id, "id");
    requireNonNull(team, "team");
    requireNonNull(key, "key");
    requireNonNull(fingerprint, "fingerprint");
  }

  /**
   * Returns the key qualified with its team, under which it is recorded.
   *
   * @return team and key, separated by a slash
   */
  public String scopedKey() {
    return team + "/" + key;
  }
}
