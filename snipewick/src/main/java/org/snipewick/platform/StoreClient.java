package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.store.TableReader;
import org.snipewick.store.TableRow;
import org.snipewick.store.TableWriter;
import org.snipewick.time.TimerService;
import org.snipewick.transport.Exchange;
import org.snipewick.transport.HttpTransport;

/** Client of the platform's store; to be used on the event loop of its transport. */
final class StoreClient implements TableReader, TableWriter {
  /** The store answers within some milliseconds; a silent connection shows only by this. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

  private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpTransport transport;
  private final TimerService timer;
  private final String address;

  private StoreClient(HttpTransport transport, TimerService timer, InetSocketAddress address) {
    this.transport = requireNonNull(transport, "transport");
    this.timer = requireNonNull(timer, "timer");
    this.address = "http://" + address.getHostString() + ":" + address.getPort();
  }

  static StoreClient of(HttpTransport transport, TimerService timer, InetSocketAddress address) {
    return new StoreClient(transport, timer, address);
  }

  private record Answer(int status, byte[] body) {}

  @Override
  public CompletableFuture<RowPage> read(String table, Optional<String> after) {
    String from = after.map(key -> "&from=" + encode(key)).orElse("");
    String path = "/rows-get?table=" + encode(table) + "&part=" + from;
    return call(HttpRequest.get(address + path), CALL_TIMEOUT)
        .thenApply(answer -> page(answer, after));
  }

  @Override
  public CompletableFuture<RowChanges> changes(String table, long version, Duration wait) {
    String path =
        "/rows-feed?table=" + encode(table) + "&after=" + version + "&wait_ms=" + wait.toMillis();
    return call(HttpRequest.get(address + path), wait.plus(CALL_TIMEOUT))
        .thenApply(StoreClient::decodeChanges);
  }

  @Override
  public CompletableFuture<Long> put(String table, String key, byte[] value) {
    ObjectNode body = JSON.createObjectNode();
    body.putArray("expected_rev");
    body.putArray("writes")
        .add(rowName(table, key).put("value", Base64.getEncoder().encodeToString(value)));
    body.putArray("remove");
    return transact(body).thenApply(answer -> json(answer).path("ver").asLong());
  }

  private static ObjectNode rowName(String table, String key) {
    return JSON.createObjectNode().put("table", table).put("part", "").put("key", key);
  }

  private CompletableFuture<Answer> transact(ObjectNode body) {
    HttpRequest request =
        HttpRequest.post(address + "/rows-tx")
            .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
            .withBody(body.toString().getBytes(StandardCharsets.UTF_8));
    return call(request, CALL_TIMEOUT);
  }

  /** The range begins with the key after which reading goes on, so that row is left out. */
  private static RowPage page(Answer answer, Optional<String> after) {
    JsonNode root = json(answer);
    List<TableRow> rows = new ArrayList<>();
    for (JsonNode each : root.path("rows")) {
      TableRow row = row(each);
      if (!after.equals(Optional.of(row.key()))) {
        rows.add(row);
      }
    }
    return new RowPage(rows, root.path("ver").asLong(), root.path("truncated").asBoolean());
  }

  private static RowChanges decodeChanges(Answer answer) {
    if (answer.status() == GONE) {
      return new RowChanges.Forgotten("history is no longer kept");
    }
    JsonNode root = json(answer);
    List<TableRow> written = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    for (JsonNode each : root.path("rows")) {
      if (each.path("removed").asBoolean()) {
        removed.add(each.path("key").asText());
        written.removeIf(row -> row.key().equals(each.path("key").asText()));
      } else {
        written.add(row(each));
        removed.remove(each.path("key").asText());
      }
    }
    return new RowChanges.Told(written, removed, root.path("ver").asLong());
  }

  private static TableRow row(JsonNode node) {
    byte[] value;
    try {
      value = Base64.getDecoder().decode(node.path("value").asText());
    } catch (IllegalArgumentException malformed) {
      // The decoder of the row's content reports it with the row's key.
      value = new byte[0];
    }
    return new TableRow(
        node.path("part").asText(), node.path("key").asText(), value, node.path("ver").asLong());
  }

  private static JsonNode json(Answer answer) {
    if (answer.status() != OK) {
      throw unavailable("store answered with status " + answer.status()).toException();
    }
    try {
      return JSON.readTree(answer.body());
    } catch (IOException malformed) {
      throw unavailable("store's answer cannot be read").toException();
    }
  }

  private CompletableFuture<Answer> call(HttpRequest request, Duration timeout) {
    Exchange exchange = Exchange.of();
    CompletableFuture<Answer> result = new CompletableFuture<>();
    TimerService.Subscription limit =
        timer.after(
            timeout,
            () -> {
              exchange.cancel();
              result.completeExceptionally(
                  unavailable("store did not answer within " + timeout).toException());
            });
    transport
        .send(request, exchange)
        .then(StoreClient::load)
        .run(
            (answer, thrown) -> {
              limit.cancel();
              if (thrown == null) {
                result.complete(answer);
              } else {
                result.completeExceptionally(
                    unavailable("call to the store failed: " + thrown).toException());
              }
            });
    return result;
  }

  private static io.activej.promise.Promise<Answer> load(HttpResponse response) {
    int status = response.getCode();
    return response.loadBody(MAX_ANSWER_BYTES).map(body -> new Answer(status, body.getArray()));
  }

  private static Failure unavailable(String detail) {
    return Failure.unknown(FailureType.PLATFORM_UNAVAILABLE, detail);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
