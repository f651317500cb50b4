package org.snipewick.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.snipewick.standins.server.Responses;

/** A request and the part of its response that has been generated so far. */
final class Generation {
  private static final String DONE_EVENT = "[DONE]";

  private final String id;
  private final ChatRequest request;
  private final long createdSeconds;
  private final List<String> events = new ArrayList<>();
  private final StringBuilder text = new StringBuilder();
  private final List<Runnable> listeners = new ArrayList<>();
  private int outputTokens;
  private int cachedTokens;
  private double prefilledTokens;
  private Status status = Status.RUNNING;

  /** Status of a request. */
  enum Status {
    /** Not yet completely delivered. */
    RUNNING,
    /** Completely delivered. */
    COMPLETED,
    /** Cancelled; cannot be resumed. */
    CANCELLED,
    /** Stopped because its caller disconnected; can be resumed. */
    ABANDONED,
    /** Aborted by fault injection; can be resumed. */
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

  Status status() {
    return status;
  }

  void setStatus(Status newStatus) {
    status = newStatus;
    notifyListeners();
  }

  boolean isFinished() {
    return outputTokens == request.outputTokens();
  }

  int usedKvTokens() {
    return request.promptTokens() + outputTokens;
  }

  int maxKvTokens() {
    return request.promptTokens() + request.outputTokens();
  }

  void setCachedTokens(int count) {
    cachedTokens = count;
  }

  double remainingPrefillTokens() {
    return request.promptTokens() - cachedTokens - prefilledTokens;
  }

  double prefilledTokens() {
    return prefilledTokens;
  }

  void addPrefilledTokens(double count) {
    prefilledTokens += count;
  }

  List<String> events() {
    return events;
  }

  /** Adds a listener that runs once, at the next new event or change of status. */
  void onNextChange(Runnable listener) {
    listeners.add(listener);
  }

  /**
   * Generates the next output token; after the last one also adds the events that end the stream.
   */
  void addToken() {
    String piece =
        outputTokens == 0
            ? "answer to " + request.lastUserContent() + " for " + id
            : " token " + outputTokens;
    text.append(piece);
    outputTokens++;
    events.add(chunk(piece, false));
    if (isFinished()) {
      events.add(chunk("", true));
      events.add(DONE_EVENT);
    }
    notifyListeners();
  }

  /** Returns the body of the complete response. */
  ObjectNode response() {
    ObjectNode response = envelope("chat.completion");
    ObjectNode choice = response.putArray("choices").addObject().put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", text.toString());
    choice.put("finish_reason", finishReason());
    putUsage(response);
    return response;
  }

  private String chunk(String piece, boolean isLast) {
    ObjectNode chunk = envelope("chat.completion.chunk");
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    ObjectNode delta = choice.putObject("delta");
    if (isLast) {
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
    usage.put("completion_tokens", outputTokens);
    usage.put("total_tokens", usedKvTokens());
    usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
  }

  private String finishReason() {
    return request.hasOutputLimit() ? "length" : "stop";
  }

  private void notifyListeners() {
    List<Runnable> current = List.copyOf(listeners);
    listeners.clear();
    current.forEach(Runnable::run);
  }
}
