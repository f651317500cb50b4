package org.snipewick.rollout;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;

/**
 * What one instance has seen of an order.
 *
 * @param id identifier of the order
 * @param arrived requests to the pool since the order
 * @param exposed requests for which the new version was chosen
 * @param onOld requests that wait for endpoints of old versions or run on them
 * @param isSealed whether the instance sends nothing to old versions until the phase changes
 * @param residence durations of requests on old versions, with the time in the queue, by bucket
 * @param old tally of the old versions by route
 * @param fresh tally of the new version by endpoint and route
 */
record Evidence(
    @JsonProperty("id") long id,
    @JsonProperty("arrived") long arrived,
    @JsonProperty("exposed") long exposed,
    @JsonProperty("onOld") long onOld,
    @JsonProperty("sealed") boolean isSealed,
    @JsonProperty("residence") Map<Integer, Long> residence,
    @JsonProperty("old") Map<String, Tally> old,
    @JsonProperty("new") Map<String, Map<String, Tally>> fresh) {
  /** Table that contains one row per pool with an order and instance. */
  static final String TABLE = "rollout-evidence";

  private static final ObjectMapper JSON =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  Evidence {
    residence = residence == null ? Map.of() : Map.copyOf(residence);
    old = old == null ? Map.of() : Map.copyOf(old);
    fresh = fresh == null ? Map.of() : Map.copyOf(fresh);
    if (arrived < 0 || exposed < 0 || onOld < 0) {
      throw new IllegalArgumentException("counts must not be negative");
    }
  }

  /** Returns what was counted since an earlier moment of the same process. */
  Evidence since(Evidence earlier) {
    Map<String, Tally> oldSince = new HashMap<>();
    old.forEach(
        (route, tally) ->
            oldSince.put(route, tally.since(earlier.old.getOrDefault(route, Tally.NONE))));
    Map<String, Map<String, Tally>> freshSince = new HashMap<>();
    fresh.forEach(
        (endpoint, tallies) -> {
          Map<String, Tally> before = earlier.fresh.getOrDefault(endpoint, Map.of());
          Map<String, Tally> since = new HashMap<>();
          tallies.forEach(
              (route, tally) ->
                  since.put(route, tally.since(before.getOrDefault(route, Tally.NONE))));
          freshSince.put(endpoint, since);
        });
    return new Evidence(
        id,
        Math.max(0, arrived - earlier.arrived),
        Math.max(0, exposed - earlier.exposed),
        onOld,
        isSealed,
        residence,
        oldSince,
        freshSince);
  }

  byte[] encode() {
    try {
      return JSON.writeValueAsBytes(this);
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /**
   * Decodes a row.
   *
   * @throws IOException if the content is not that of evidence
   */
  static Evidence decode(byte[] content) throws IOException {
    Evidence decoded = JSON.readValue(content, Evidence.class);
    if (decoded == null) {
      throw new IOException("no evidence");
    }
    return decoded;
  }
}
