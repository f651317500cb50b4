package org.snipewick.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.snipewick.standins.server.Responses;

/** One request with the answer as far as it has been generated. */
final class Generation {
  private static final String DONE = "[DONE]";

  private final String id;
  private final ChatRequest request;
  private final long createdSeconds;
  private final List<String> events = new ArrayList<>();
  private final StringBuilder text = new StringBuilder();
  private final List<Runnable> listeners = new ArrayList<>();
  private int tokens;
  private int cachedTokens;
  private double prefilledTokens;
  private Fate fate = Fate.RUNNING;

  /** What became of a request. */
  enum Fate {
    /** Not yet delivered. */
    RUNNING,
    /** Delivered whole. */
    COMPLETED,
    /** Cancelled for good. */
    CANCELLED,
    /** Paused since its caller went away; may be resumed. */
    ABANDONED,
    /** Broken off by the engine; may be resumed. */
    BROKEN
  }

  Generation(String id, ChatRequest request, long createdSeconds) {
    this.id = id;
    this.request = request;
    this.createdSeconds = createdSeconds;
  }

  String id() {
    return id;
  }

  ChatRequest request() {
    return request;
  }

  Fate fate() {
    return fate;
  }

  void fate(Fate changed) {
    fate = changed;
    notifyListeners();
  }

  boolean isFinished() {
    return tokens == request.outputTokens();
  }

  int usedTokens() {
    return request.promptTokens() + tokens;
  }

  int maxTokens() {
    return request.promptTokens() + request.outputTokens();
  }

  void cachedTokens(int count) {
    cachedTokens = count;
  }

  double remainingPrefill() {
    return request.promptTokens() - cachedTokens - prefilledTokens;
  }

  double prefilledTokens() {
    return prefilledTokens;
  }

  void addPrefilled(double count) {
    prefilledTokens += count;
  }

  List<String> events() {
    return events;
  }

  void listen(Runnable listener) {
    listeners.add(listener);
  }

  /** Adds the next output token, and after the last one the end of the stream. */
  void addToken() {
    String piece =
        tokens == 0 ? "answer to " + request.question() + " for " + id : " token " + tokens;
    text.append(piece);
    tokens++;
    events.add(chunk(piece, false));
    if (isFinished()) {
      events.add(chunk("", true));
      events.add(DONE);
    }
    notifyListeners();
  }

  /** Returns the whole answer. */
  ObjectNode answer() {
    ObjectNode answer = envelope("chat.completion");
    ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", text.toString());
    choice.put("finish_reason", finishReason());
    putUsage(answer);
    return answer;
  }

  private String chunk(String piece, boolean last) {
    ObjectNode chunk = envelope("chat.completion.chunk");
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    ObjectNode delta = choice.putObject("delta");
    if (last) {
      choice.put("finish_reason", finishReason());
      putUsage(chunk);
    } else {
      delta.put("role", "assistant").put("content", piece);
      choice.putNull("finish_reason");
    }
    return Responses.toJson(chunk);
  }

  private ObjectNode envelope(String kind) {
    return Responses.JSON
        .createObjectNode()
        .put("id", "chatcmpl-" + id)
        .put("object", kind)
        .put("created", createdSeconds)
        .put("model", request.model());
  }

  private void putUsage(ObjectNode node) {
    ObjectNode usage = node.putObject("usage");
    usage.put("prompt_tokens", request.promptTokens());
    usage.put("completion_tokens", tokens);
    usage.put("total_tokens", usedTokens());
    usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
  }

  private String finishReason() {
    return request.limited() ? "length" : "stop";
  }

  private void notifyListeners() {
    List<Runnable> present = List.copyOf(listeners);
    listeners.clear();
    present.forEach(Runnable::run);
  }
}
