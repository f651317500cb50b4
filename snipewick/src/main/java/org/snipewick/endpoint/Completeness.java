package org.snipewick.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/** Checks whether answers of model engines are complete. */
public final class Completeness {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String FINISH_REASON = "finish_reason";

  private Completeness() {}

  /**
   * Tells whether a whole answer of an engine is complete: valid JSON, with choices that all say
   * why they ended.
   *
   * @param body body of the answer
   * @return whether nothing is missing
   */
  public static boolean isComplete(byte[] body) {
    return parse(body).filter(Completeness::allFinished).isPresent();
  }

  /**
   * Tells whether an event of a stream says why its choice ended.
   *
   * @param event event
   * @return whether it carries a finish reason
   */
  public static boolean isFinish(StreamEvent event) {
    if (!event.data().contains(FINISH_REASON)) {
      return false;
    }
    try {
      return allFinished(JSON.readTree(event.data()));
    } catch (JsonProcessingException malformed) {
      return false;
    }
  }

  /**
   * Reads the number of output tokens that an engine reports.
   *
   * @param body body of a whole answer
   * @return output tokens, 0 if it does not say
   */
  public static int outputTokens(byte[] body) {
    return parse(body).map(tree -> tree.path("usage").path("completion_tokens").asInt(0)).orElse(0);
  }

  private static boolean allFinished(JsonNode tree) {
    JsonNode choices = tree.path("choices");
    if (!choices.isArray() || choices.isEmpty()) {
      return false;
    }
    for (JsonNode choice : choices) {
      if (!choice.hasNonNull(FINISH_REASON)) {
        return false;
      }
    }
    return true;
  }

  private static Optional<JsonNode> parse(byte[] body) {
    try {
      return Optional.ofNullable(JSON.readTree(body));
    } catch (IOException malformed) {
      return Optional.empty();
    }
  }
}
