package org.snipewick.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A request in the chat completions format.
 *
 * @param model requested model
 * @param prompt roles and contents of all messages
 * @param lastUserContent content of the last message with role {@code user}, empty if there is none
 * @param outputTokens number of output tokens to generate
 * @param hasOutputLimit whether the caller limited the number of output tokens
 * @param streamed whether the response is streamed
 */
record ChatRequest(
    String model,
    String prompt,
    String lastUserContent,
    int outputTokens,
    boolean hasOutputLimit,
    boolean streamed) {
  /** Size of a block of the prompt in the prefix cache. */
  static final int BLOCK_TOKENS = 64;

  /** Length of every token; the prompt is not tokenized. */
  private static final int CHARACTERS_PER_TOKEN = 4;

  private static final int DEFAULT_OUTPUT_TOKENS = 16;
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  /**
   * Parses the body of a request.
   *
   * @throws IllegalArgumentException if the model or the messages are missing
   */
  static ChatRequest of(JsonNode body) {
    JsonNode messages = body.path("messages");
    if (!body.path("model").isTextual() || !messages.isArray() || messages.isEmpty()) {
      throw new IllegalArgumentException("model and messages are required");
    }
    StringBuilder prompt = new StringBuilder();
    String lastUserContent = "";
    for (JsonNode message : messages) {
      String content = content(message.path("content"));
      prompt.append(message.path("role").asText()).append('\n').append(content).append('\n');
      lastUserContent = message.path("role").asText().equals("user") ? content : lastUserContent;
    }
    int maxTokens = body.path("max_tokens").asInt(body.path("max_completion_tokens").asInt(0));
    return new ChatRequest(
        body.path("model").asText(),
        prompt.toString(),
        lastUserContent,
        maxTokens > 0 ? maxTokens : DEFAULT_OUTPUT_TOKENS,
        maxTokens > 0,
        body.path("stream").asBoolean(false));
  }

  int promptTokens() {
    return (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
  }

  /**
   * Returns, for each complete block of the prompt, the FNV-1a hash of the prompt up to its end.
   */
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
