package org.snipewick.quarantine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipewick.identity.EndpointId;

/** Format of evidence in a row of the store. */
final class EvidenceCodec {
  private static final ObjectMapper JSON = new ObjectMapper();

  private EvidenceCodec() {}

  static byte[] encode(Evidence evidence) {
    ObjectNode root = JSON.createObjectNode();
    ArrayNode crashes = root.putArray("crashes");
    for (EndpointCrash crash : evidence.crashes()) {
      ObjectNode node = crashes.addObject();
      node.put("endpoint", crash.endpoint().value());
      node.put("started", crash.startedEpochMillis());
      node.put("at", crash.epochMillis());
      ObjectNode parts = node.putObject("parts");
      crash.depths().forEach(parts::put);
    }
    ObjectNode answered = root.putObject("answered");
    evidence.answeredEpochMillis().forEach(answered::put);
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Decodes evidence.
   *
   * @throws IOException if the content is not JSON
   * @throws IllegalArgumentException if a field is missing or has another type, or if there are
   *     more entries than an instance records
   */
  static Evidence decode(byte[] value) throws IOException {
    JsonNode root = JSON.readTree(value);
    List<EndpointCrash> crashes = new ArrayList<>();
    for (JsonNode node : bounded(root.path("crashes"), Evidence.MAX_CRASHES)) {
      Map<String, Integer> depths = new HashMap<>();
      for (Map.Entry<String, JsonNode> part :
          bounded(node.path("parts"), EndpointCrash.MAX_PARTS).properties()) {
        depths.put(part.getKey(), (int) number(part.getValue()));
      }
      crashes.add(
          new EndpointCrash(
              EndpointId.of(node.path("endpoint").asText()),
              number(node.path("started")),
              number(node.path("at")),
              depths));
    }
    Map<String, Long> answered = new HashMap<>();
    for (Map.Entry<String, JsonNode> part :
        bounded(root.path("answered"), Evidence.MAX_ANSWERED_PARTS).properties()) {
      answered.put(part.getKey(), number(part.getValue()));
    }
    return new Evidence(crashes, answered);
  }

  private static JsonNode bounded(JsonNode container, int maxSize) {
    if (container.size() > maxSize) {
      throw new IllegalArgumentException("more than " + maxSize + " entries");
    }
    return container;
  }

  private static long number(JsonNode node) {
    if (!node.isIntegralNumber() || !node.canConvertToLong()) {
      throw new IllegalArgumentException("not a whole number: " + node.getNodeType());
    }
    return node.longValue();
  }
}
