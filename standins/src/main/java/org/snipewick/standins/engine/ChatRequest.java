package org.snipewick.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A request in the chat completions format.
 *
 * @param model model that is asked for
 * @param prompt text of all messages
 * @param question content of the last message of the user
 * @param outputTokens length of the answer
 * @param limited whether the caller set the length
 * @param streamed whether the answer is streamed
 */
record ChatRequest(
    String model,
    String prompt,
    String question,
    int outputTokens,
    boolean limited,
    boolean streamed) {
  static final int BLOCK_TOKENS = 64;

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int DEFAULT_OUTPUT_TOKENS = 16;
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  static ChatRequest of(JsonNode body) {
    JsonNode messages = body.path("messages");
    if (!body.path("model").isTextual() || !messages.isArray() || messages.isEmpty()) {
      throw new IllegalArgumentException("model and messages are required");
    }
    StringBuilder prompt = new StringBuilder();
    String question = "";
    for (JsonNode message : messages) {
      String content = content(message.path("content"));
      prompt.append(message.path("role").asText()).append('\n').append(content).append('\n');
      question = message.path("role").asText().equals("user") ? content : question;
    }
    int limit = body.path("max_tokens").asInt(body.path("max_completion_tokens").asInt(0));
    return new ChatRequest(
        body.path("model").asText(),
        prompt.toString(),
        question,
        limit > 0 ? limit : DEFAULT_OUTPUT_TOKENS,
        limit > 0,
        body.path("stream").asBoolean(false));
  }

  int promptTokens() {
    return (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
  }

  /** Returns for each whole block the FNV-1a hash of the prompt up to its end. */
  List<Long> blockHashes() {
    List<Long> hashes = new ArrayList<>();
    long hash = FNV_OFFSET;
    for (int index = 0; index < prompt.length(); index++) {
      hash = (hash ^ prompt.charAt(index)) * FNV_PRIME;
      if ((index + 1) % (BLOCK_TOKENS * CHARACTERS_PER_TOKEN) == 0) {
        hashes.add(hash);
      }
    }
    return hashes;
  }

  private static String content(JsonNode content) {
    if (!content.isArray()) {
      return content.asText();
    }
    StringBuilder text = new StringBuilder();
    content.forEach(part -> text.append(part.path("text").asText()));
    return text.toString();
  }
}
