package org.snipewick.rollout;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * State of the latest order of a pool, in a row of the store that is written conditionally on its
 * version.
 *
 * @param id identifies the order: version of its row when it was first seen, or the next number
 *     after the order before if that is higher, as a restored store assigns versions again
 * @param orderVersion version of the latest row of the operator that counts as the same order
 * @param to version that the traffic is moved to
 * @param durationMillis time from the order to its deadline, in milliseconds
 * @param startedEpochMillis when the order was first seen, in milliseconds since the Unix epoch
 * @param phase phase
 * @param moveShare part of its requests so far that each instance may send during the move;
 *     negative if the move is not limited
 * @param givenUp versions that must not receive requests: those of orders that were rolled back or
 *     superseded, and the versions that a completed order replaced
 * @param isReported whether the phase is in the status row
 * @param refreshes number that changes each time the record is confirmed
 */
record RolloutRecord(
    @JsonProperty("id") long id,
    @JsonProperty("orderVersion") long orderVersion,
    @JsonProperty("to") String to,
    @JsonProperty("durationMillis") long durationMillis,
    @JsonProperty("startedEpochMillis") long startedEpochMillis,
    @JsonProperty("phase") RolloutPhase phase,
    @JsonProperty("moveShare") double moveShare,
    @JsonProperty("givenUp") List<String> givenUp,
    @JsonProperty("reported") boolean isReported,
    @JsonProperty("refreshes") long refreshes) {
  /** Table that contains one row per pool that had an order. */
  static final String TABLE = "rollouts";

  static final double UNLIMITED = -1;

  private static final ObjectMapper JSON =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  /** A pool has few versions at a time; the bound keeps the row small. */
  private static final int MAX_GIVEN_UP = 16;

  RolloutRecord {
    requireNonNull(to, "to");
    requireNonNull(phase, "phase");
    givenUp = givenUp == null ? List.of() : List.copyOf(givenUp);
    if (durationMillis <= 0 || Double.isNaN(moveShare)) {
      throw new IllegalArgumentException("duration and share must be valid");
    }
  }

  static RolloutRecord start(
      RolloutOrder order, Optional<RolloutRecord> previous, long nowEpochMillis) {
    List<String> others =
        new ArrayList<>(previous.map(RolloutRecord::givenUpAfterwards).orElse(List.of()));
    others.remove(order.to());
    return new RolloutRecord(
        Math.max(order.rowVersion(), previous.map(before -> before.id() + 1).orElse(0L)),
        order.rowVersion(),
        order.to(),
        order.duration().toMillis(),
        nowEpochMillis,
        RolloutPhase.TRIAL,
        0,
        others,
        false,
        0);
  }

  Duration duration() {
    return Duration.ofMillis(durationMillis);
  }

  /**
   * Returns whether an order is the one of this record. A row that is written again with the same
   * content before the deadline does not start the order again, as the operator's rows are
   * rewritten when the store was restored. A row with the same version and other content is another
   * order, as a restored store assigns versions again.
   */
  boolean isOf(RolloutOrder order, long nowEpochMillis) {
    return order.to().equals(to)
        && order.duration().toMillis() == durationMillis
        && (order.rowVersion() == orderVersion
            || nowEpochMillis < startedEpochMillis + durationMillis);
  }

  /** Returns whether this is an earlier state of the same order, or of an earlier order. */
  boolean isOlderThan(RolloutRecord other) {
    return id < other.id
        || (id == other.id
            && (phase.compareTo(other.phase) < 0 && !(phase.hasEnded() && other.phase.hasEnded())));
  }

  /** Returns the versions that the next order must not use either. */
  List<String> givenUpAfterwards() {
    if (phase == RolloutPhase.COMPLETE || givenUp.contains(to)) {
      return givenUp;
    }
    return with(givenUp, List.of(to));
  }

  RolloutRecord withPhase(RolloutPhase next, double share, List<String> alsoGivenUp) {
    return new RolloutRecord(
        id,
        orderVersion,
        to,
        durationMillis,
        startedEpochMillis,
        next,
        share,
        with(givenUp, alsoGivenUp),
        false,
        refreshes);
  }

  RolloutRecord withReported() {
    return new RolloutRecord(
        id,
        orderVersion,
        to,
        durationMillis,
        startedEpochMillis,
        phase,
        moveShare,
        givenUp,
        true,
        refreshes);
  }

  RolloutRecord refreshed() {
    return new RolloutRecord(
        id,
        orderVersion,
        to,
        durationMillis,
        startedEpochMillis,
        phase,
        moveShare,
        givenUp,
        isReported,
        refreshes + 1);
  }

  /** Returns this record, to be written and reported again in a restored store. */
  RolloutRecord unreported() {
    return new RolloutRecord(
        id,
        orderVersion,
        to,
        durationMillis,
        startedEpochMillis,
        phase,
        moveShare,
        givenUp,
        false,
        refreshes + 1);
  }

  private static List<String> with(List<String> versions, List<String> more) {
    List<String> all = new ArrayList<>(versions);
    more.stream().filter(version -> !all.contains(version)).forEach(all::add);
    return all.subList(Math.max(0, all.size() - MAX_GIVEN_UP), all.size());
  }

  String encode() {
    try {
      return JSON.writeValueAsString(this);
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /**
   * Decodes a row.
   *
   * @throws JsonProcessingException if the content is not that of a record
   */
  static RolloutRecord decode(String content) throws JsonProcessingException {
    return requireNonNull(JSON.readValue(content, RolloutRecord.class), "record");
  }
}
