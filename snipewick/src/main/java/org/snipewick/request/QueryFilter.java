package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.catalogue.Entry;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.idempotency.KeyState;
import org.snipewick.idempotency.KeyedRequest;
import org.snipewick.idempotency.RequestLedger;
import org.snipewick.idempotency.StoredAnswer;

/**
 * Answers queries without an endpoint: the outcome of an idempotency key, and the list of models.
 */
final class QueryFilter implements Filter {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String OUTCOMES_PATH = "/v1/outcomes/";
  private static final String MODELS_PATH = "/v1/models";
  private static final Set<String> ALLOWED_METHODS = Set.of("GET", "HEAD");

  private final CatalogueSource catalogue;
  private final RequestLedger ledger;

  private QueryFilter(CatalogueSource catalogue, RequestLedger ledger) {
    this.catalogue = catalogue;
    this.ledger = ledger;
  }

  static QueryFilter of(CatalogueSource catalogue, RequestLedger ledger) {
    return new QueryFilter(
        requireNonNull(catalogue, "catalogue"), requireNonNull(ledger, "ledger"));
  }

  /** Returns whether this filter answers a request. */
  static boolean handles(CallerRequest request) {
    return request.path().startsWith(OUTCOMES_PATH) || request.path().equals(MODELS_PATH);
  }

  @Override
  public CompletableFuture<Answer> apply(CallContext context, Chain next) {
    CallerRequest request = context.request();
    if (!ALLOWED_METHODS.contains(request.method())) {
      return CompletableFuture.failedFuture(
          Failure.notRun(FailureType.METHOD_NOT_ALLOWED, "path supports GET and HEAD only")
              .toException());
    }
    if (request.path().equals(MODELS_PATH)) {
      return CompletableFuture.completedFuture(json(modelList()));
    }
    String key = keyOf(request.path().substring(OUTCOMES_PATH.length()));
    return lookup(context, key).thenApply(state -> json(outcomeDocument(key, state)));
  }

  /**
   * Decodes the key in a path segment. Replaces plus signs first, because the decoder would turn
   * them into spaces, and the outcome of another key would be returned.
   */
  private static String keyOf(String segment) {
    try {
      return CallerHeaders.checkKey(
          URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8));
    } catch (IllegalArgumentException malformed) {
      throw Failure.notRun(FailureType.MALFORMED_REQUEST, "key in the path is not URL-encoded")
          .toException();
    }
  }

  /** Looks a key up as that of a request without side effects, and then as that of an action. */
  private CompletableFuture<KeyState> lookup(CallContext context, String key) {
    CompletableFuture<KeyState> first = ledger.lookup(keyedRequest(context, key, false));
    return Futures.andThen(
        first,
        (state, failure) ->
            failure != null || state instanceof KeyState.Fresh
                ? lookupAction(context, key, first)
                : first);
  }

  /**
   * Looks a key up as that of an action. If the ledger has no such action, returns the result or
   * failure of the first lookup.
   */
  private CompletableFuture<KeyState> lookupAction(
      CallContext context, String key, CompletableFuture<KeyState> first) {
    return ledger
        .lookup(keyedRequest(context, key, true))
        .thenCompose(
            state ->
                state instanceof KeyState.Fresh ? first : CompletableFuture.completedFuture(state));
  }

  private static KeyedRequest keyedRequest(CallContext context, String key, boolean action) {
    return new KeyedRequest(context.id(), context.team(), key, "", action);
  }

  private ObjectNode modelList() {
    ObjectNode list = JSON.createObjectNode().put("object", "list");
    ArrayNode data = list.putArray("data");
    for (Entry.Model model : catalogue.current().all(Entry.Model.class)) {
      data.addObject()
          .put("id", model.name())
          .put("object", "model")
          .put("owned_by", model.owner());
    }
    return list;
  }

  private static ObjectNode outcomeDocument(String key, KeyState state) {
    ObjectNode document = JSON.createObjectNode().put("key", key);
    document.put("outcome", outcomeText(state));
    if (state instanceof KeyState.Ran ran) {
      StoredAnswer answer = ran.answer();
      document
          .putObject("answer")
          .put("status", answer.status())
          .put("contentType", answer.contentType())
          .put("body", answer.body());
    }
    return document;
  }

  private static String outcomeText(KeyState state) {
    if (state instanceof KeyState.Fresh) {
      return "not-run";
    }
    if (state instanceof KeyState.Ran || state instanceof KeyState.RanWithoutAnswer) {
      return "ran";
    }
    return state instanceof KeyState.InProgress ? "in-progress" : "unknown";
  }

  private static Answer json(JsonNode document) {
    try {
      byte[] body = JSON.writeValueAsString(document).getBytes(StandardCharsets.UTF_8);
      return Answer.whole(200, "application/json", body, 0);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException("JSON document cannot be serialized", impossible);
    }
  }
}
