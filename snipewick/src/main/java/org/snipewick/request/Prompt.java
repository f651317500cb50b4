package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.pool.WorkRequest;

/**
 * Properties of a request in the chat completions format that the scheduler and the limits need.
 *
 * @param model name of the model
 * @param promptTokens estimated length of the prompt in tokens
 * @param maxOutputTokens maximum length of the answer in tokens, 0 if the caller sets no limit
 * @param streamed whether the caller requests a streamed answer
 * @param prefixHashes hashes of the leading blocks of the prompt; each also covers all blocks
 *     before its own
 */
public record Prompt(
    String model,
    int promptTokens,
    int maxOutputTokens,
    boolean streamed,
    List<Long> prefixHashes) {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Estimated number of characters that make a token. */
  private static final int CHARACTERS_PER_TOKEN = 4;

  /** Estimated number of tokens that each message adds to those of its text. */
  private static final int TOKENS_PER_MESSAGE = 4;

  private static final int MAX_PREFIX_BLOCKS = 512;

  /** Checks that the model is not null and copies the hashes. */
  public Prompt {
    requireNonNull(model, "model");
    prefixHashes = List.copyOf(prefixHashes);
  }

  /**
   * Parses the body of a request.
   *
   * @param body JSON object in the chat completions format
   * @return prompt
   * @throws org.snipewick.failure.FailureException with {@link FailureType#MALFORMED_REQUEST} if
   *     the body is not such an object
   */
  public static Prompt parse(byte[] body) {
    JsonNode tree = readObject(body);
    JsonNode messages = tree.path("messages");
    if (!tree.path("model").isTextual()) {
      throw malformed("field model must be a string");
    }
    if (!messages.isArray() || messages.isEmpty()) {
      throw malformed("field messages must be an array with at least one message");
    }
    String text = textOf(messages);
    return new Prompt(
        tree.path("model").textValue(),
        estimateTokens(text, messages.size()),
        maxOutputTokensOf(tree),
        streamedOf(tree),
        hashBlocks(text));
  }

  /**
   * Returns the prompt of a call without one, such as a call to a plain service.
   *
   * @return empty prompt with an empty model name
   */
  public static Prompt none() {
    return new Prompt("", 0, 0, false, List.of());
  }

  /**
   * Returns this prompt with another maximum length of the answer.
   *
   * @param tokens maximum length of the answer in tokens
   * @return changed copy
   */
  public Prompt withMaxOutputTokens(int tokens) {
    return new Prompt(model, promptTokens, tokens, streamed, prefixHashes);
  }

  private static JsonNode readObject(byte[] body) {
    try {
      JsonNode tree = JSON.readTree(body);
      if (tree != null && tree.isObject()) {
        return tree;
      }
    } catch (IOException malformed) {
      throw malformed("body is not valid JSON");
    }
    throw malformed("body must be a JSON object");
  }

  private static String textOf(JsonNode messages) {
    StringBuilder text = new StringBuilder();
    for (JsonNode message : messages) {
      if (!message.isObject() || !message.path("role").isTextual()) {
        throw malformed("each message must be an object with a role");
      }
      JsonNode content = message.path("content");
      text.append(message.path("role").textValue()).append('\n');
      text.append(content.isTextual() ? content.textValue() : content.toString()).append('\n');
    }
    return text.toString();
  }

  private static int estimateTokens(String text, int messages) {
    return text.length() / CHARACTERS_PER_TOKEN + messages * TOKENS_PER_MESSAGE;
  }

  private static int maxOutputTokensOf(JsonNode tree) {
    JsonNode limit =
        tree.hasNonNull("max_completion_tokens")
            ? tree.get("max_completion_tokens")
            : tree.path("max_tokens");
    if (limit.isMissingNode() || limit.isNull()) {
      return 0;
    }
    if (!limit.canConvertToInt() || !limit.isIntegralNumber() || limit.intValue() < 1) {
      throw malformed("maximum of output tokens must be a positive integer");
    }
    return limit.intValue();
  }

  private static boolean streamedOf(JsonNode tree) {
    JsonNode stream = tree.path("stream");
    if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
      throw malformed("field stream must be true or false");
    }
    return stream.asBoolean(false);
  }

  private static List<Long> hashBlocks(String text) {
    int blockCharacters = WorkRequest.PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
    int blocks = Math.min(text.length() / blockCharacters, MAX_PREFIX_BLOCKS);
    List<Long> hashes = new ArrayList<>(blocks);
    long previousHash = 0;
    for (int block = 0; block < blocks; block++) {
      int start = block * blockCharacters;
      String content = text.substring(start, start + blockCharacters);
      previousHash =
          Hashing.komihash5_0().hashStream().putLong(previousHash).putString(content).getAsLong();
      hashes.add(previousHash);
    }
    return hashes;
  }

  private static RuntimeException malformed(String detail) {
    return Failure.notRun(FailureType.MALFORMED_REQUEST, detail).toException();
  }
}
