package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipewick.store.EraTracker;

/**
 * Row of a slot: its holder, and a bound on all that was granted out of it by the time the row is
 * replaced.
 *
 * @param holder name of the instance that holds the slot; empty after a release
 * @param incarnation number of the holder's process
 * @param shareOfOthers share of the capacity that may count as granted, by the time the row is
 *     replaced, of each limit that is not listed
 * @param grants grants by the key of the limit
 * @param era newest era of the store that the writer knew. In a later era the row bounds nothing,
 *     as rows that replaced it may have been lost
 */
record SlotRecord(
    String holder,
    long incarnation,
    double shareOfOthers,
    Map<String, KeyGrants> grants,
    long era) {
  private static final ObjectMapper JSON = new ObjectMapper();

  SlotRecord {
    requireNonNull(holder, "holder");
    requireAmount(shareOfOthers);
    grants = Map.copyOf(grants);
  }

  SlotRecord(String holder, long incarnation, double shareOfOthers, Map<String, KeyGrants> grants) {
    this(holder, incarnation, shareOfOthers, grants, EraTracker.NO_ERA);
  }

  /**
   * Grants of one limit.
   *
   * @param ceiling amount that may be granted until the next record is written
   * @param bySecondsLeft amounts granted before, by the whole seconds for which they still count
   */
  record KeyGrants(double ceiling, List<Double> bySecondsLeft) {

    KeyGrants {
      requireAmount(ceiling);
      bySecondsLeft.forEach(SlotRecord::requireAmount);
      bySecondsLeft = List.copyOf(bySecondsLeft);
    }
  }

  /** Returns this record as it is written in an era of the store. */
  SlotRecord inEra(long other) {
    return new SlotRecord(holder, incarnation, shareOfOthers, grants, other);
  }

  boolean isReleased() {
    return holder.isEmpty();
  }

  String encode() {
    ObjectNode root = JSON.createObjectNode();
    root.put("holder", holder).put("incarnation", incarnation).put("others", shareOfOthers);
    if (era != EraTracker.NO_ERA) {
      root.put("era", era);
    }
    ObjectNode byKey = root.putObject("grants");
    grants.forEach(
        (key, amounts) -> {
          ArrayNode array = byKey.putArray(key);
          array.add((long) Math.ceil(amounts.ceiling()));
          amounts.bySecondsLeft().forEach(amount -> array.add((long) Math.ceil(amount)));
        });
    return root.toString();
  }

  /**
   * Decodes a row.
   *
   * @throws IOException if the content is not JSON
   * @throws IllegalArgumentException if a field is missing or an amount is not a finite number of 0
   *     or more
   */
  static SlotRecord decode(byte[] value) throws IOException {
    JsonNode root = JSON.readTree(value);
    if (root == null || !root.path("holder").isTextual() || !root.path("grants").isObject()) {
      throw new IllegalArgumentException("field holder or grants is missing");
    }
    Map<String, KeyGrants> grants = new HashMap<>();
    for (Map.Entry<String, JsonNode> each : root.path("grants").properties()) {
      List<Double> amounts = new ArrayList<>();
      each.getValue().forEach(amount -> amounts.add(number(amount)));
      if (amounts.isEmpty()) {
        throw new IllegalArgumentException("grants without a ceiling");
      }
      grants.put(each.getKey(), new KeyGrants(amounts.get(0), amounts.subList(1, amounts.size())));
    }
    return new SlotRecord(
        root.path("holder").asText(),
        root.path("incarnation").asLong(),
        number(root.path("others")),
        grants,
        root.path("era").asLong(EraTracker.NO_ERA));
  }

  private static double number(JsonNode node) {
    if (!node.isNumber()) {
      throw new IllegalArgumentException("an amount is not a number");
    }
    return node.doubleValue();
  }

  private static void requireAmount(double amount) {
    if (!(amount >= 0) || Double.isInfinite(amount)) {
      throw new IllegalArgumentException("an amount is not a finite number of 0 or more");
    }
  }
}
