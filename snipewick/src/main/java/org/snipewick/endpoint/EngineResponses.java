package org.snipewick.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/** Evaluation of responses of model engines: whether they are complete, and their output tokens. */
public final class EngineResponses {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String FINISH_REASON = "finish_reason";

  private EngineResponses() {}

  /**
   * Returns whether a response that is not a stream is complete: valid JSON with at least one
   * choice, and all choices have a finish reason.
   *
   * @param body body of the response
   * @return whether the response is complete
   */
  public static boolean isComplete(byte[] body) {
    return parse(body).filter(EngineResponses::hasOnlyFinishedChoices).isPresent();
  }

  /**
   * Returns whether all choices in an event of a stream have a finish reason.
   *
   * @param event event of a stream
   * @return whether all have one; false if the event is not valid JSON or has no choice
   */
  public static boolean hasFinishReason(StreamEvent event) {
    if (!event.data().contains(FINISH_REASON)) {
      return false;
    }
    try {
      return hasOnlyFinishedChoices(JSON.readTree(event.data()));
    } catch (JsonProcessingException malformed) {
      return false;
    }
  }

  /**
   * Returns the number of output tokens that an engine reports in a response.
   *
   * @param body body of a response that is not a stream
   * @return output tokens, 0 if the number is missing or the body is not valid JSON
   */
  public static int outputTokens(byte[] body) {
    return parse(body).map(tree -> tree.path("usage").path("completion_tokens").asInt(0)).orElse(0);
  }

  private static boolean hasOnlyFinishedChoices(JsonNode tree) {
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
