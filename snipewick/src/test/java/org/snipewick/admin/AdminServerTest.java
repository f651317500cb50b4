package org.snipewick.admin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.catalogue.CatalogueController;
import org.snipewick.event.EventLog;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.SettableMembership;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.tcp.TcpPeerNetwork;
import org.snipewick.store.InMemoryObjectStore;
import org.snipewick.store.InMemoryTable;
import org.snipewick.time.SystemTimerService;

@Timeout(30)
class AdminServerTest {
  private static final String TOKEN = "secret";
  private static final String TOKEN_SHA256 =
      "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
  private static final String MODEL =
      "{\"edit\":\"put\",\"entry\":{\"kind\":\"model\",\"name\":\"wick\",\"owner\":\"ops\","
          + "\"tier\":2,\"maxPromptTokens\":100,\"maxOutputTokens\":10,\"timeoutMillis\":1000}}";
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final SystemTimerService timer = SystemTimerService.of("admin-test");
  private final AtomicBoolean healthy = new AtomicBoolean(true);
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final InMemoryTable table = new InMemoryTable();
  private final HttpClient client = HttpClient.newHttpClient();
  private TcpPeerNetwork network;
  private AdminServer server;

  @BeforeEach
  void start() {
    InstanceId self = InstanceId.of("wien.1");
    network =
        TcpPeerNetwork.listen(
            self, 1, ANY_PORT, PeerCodec.ofAll(), timer, EventLog.none(), new Random(1));
    CatalogueController catalogue =
        CatalogueController.of(
            new SettableMembership(SettableMembership.viewOf("wien.1", "wien.1")),
            table,
            new InMemoryObjectStore(),
            network,
            timer,
            EventLog.none(),
            new Random(2));
    catalogue.start().join();
    List<AdminRoute> routes = new ArrayList<>(CatalogueRoutes.of(catalogue));
    routes.addAll(
        ProcessRoutes.of(
            List.of(StatusSource.of("catalogue", catalogue::status)),
            healthy::get,
            () -> "up 1\n",
            subject -> List.of(subject),
            () -> stopped.set(true)));
    routes.add(
        AdminRoute.forOperators(
            "GET", "/admin/defect", request -> CompletableFuture.supplyAsync(() -> fail(1))));
    routes.add(
        AdminRoute.forOperators(
            "POST",
            "/admin/pools/:pool/endpoints/:endpoint/orders",
            request ->
                CompletableFuture.completedFuture(AdminResponse.json(request.parameters()))));
    server =
        AdminServer.listen(
            ANY_PORT,
            new Operators(List.of(new Operators.Operator("anna", TOKEN_SHA256))),
            routes,
            EventLog.none());
  }

  private static AdminResponse fail(int number) {
    throw Failure.notRun(FailureType.SHED, "busy " + number)
        .withRetryAfter(Duration.ofMillis(1_200))
        .toException();
  }

  @AfterEach
  void stop() {
    server.close();
    network.close();
    timer.close();
  }

  private HttpResponse<String> send(
      String method, String path, String body, Map<String, String> headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    headers.forEach(request::header);
    return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString()).join();
  }

  private HttpResponse<String> asOperator(String method, String path, String body, String ifMatch) {
    Map<String, String> headers = new java.util.HashMap<>();
    headers.put("Authorization", "Bearer " + TOKEN);
    if (!ifMatch.isEmpty()) {
      headers.put("If-Match", ifMatch);
    }
    return send(method, path, body, headers);
  }

  private static JsonNode json(HttpResponse<String> response) {
    try {
      return new ObjectMapper().readTree(response.body());
    } catch (IOException malformed) {
      throw new AssertionError(response.body(), malformed);
    }
  }

  @Test
  void shouldAcceptAndReturnEditWhenVersionMatches() {
    HttpResponse<String> put =
        asOperator("POST", "/admin/catalogue/edits", "{\"edits\":[" + MODEL + "]}", "\"0\"");
    assertThat(put.statusCode()).as(put.body()).isEqualTo(200);
    assertThat(json(put).get("version").asLong()).isEqualTo(1);
    assertThat(json(put).get("inForce").toString()).isEqualTo("[\"wien.1\"]");
    HttpResponse<String> get = asOperator("GET", "/admin/catalogue", "", "");
    assertThat(get.headers().firstValue("ETag")).contains("\"1\"");
    assertThat(json(get).at("/entries/0/name").asText()).isEqualTo("wick");
    String changeId = json(put).get("changeId").asText();
    HttpResponse<String> state = asOperator("GET", "/admin/catalogue/changes/" + changeId, "", "");
    assertThat(json(state).get("state").asText()).isEqualTo("accepted");
    HttpResponse<String> history = asOperator("GET", "/admin/catalogue/history?after=0", "", "");
    assertThat(json(history).at("/changes/0/change/operator").asText()).isEqualTo("anna");
  }

  /** Columns: method, path, body, If-Match, status, problem number, text in the detail. */
  @ParameterizedTest(name = "{1} {2} {3}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '\'',
      value = {
        "POST|/admin/catalogue/edits|{}|'\"0\"'|422|1302|edits must be an array",
        "POST|/admin/catalogue/edits|{\"edits\":[]}|'\"0\"'|422|1302|at least one edit",
        "POST|/admin/catalogue/edits|{\"edits\":[{\"edit\":\"x\"},3]}|'\"0\"'|422|1302|edits[1]",
        "POST|/admin/catalogue/edits|{\"edits\":[]}|''|400|1001|If-Match",
        "POST|/admin/catalogue/edits|{\"edits\":[]}|x|400|1001|If-Match",
        "POST|/admin/catalogue/edits|{\"edits\":[MODEL]}|'\"7\"'|409|1301|version 0 is in force",
        "POST|/admin/catalogue/edits|not JSON|'\"0\"'|400|1001|not JSON",
        "GET|/admin/catalogue/history?after=-1|''|''|400|1001|after",
        "GET|/admin/catalogue/changes/none|''|''|404|1005|none",
        "GET|/admin/nothing|''|''|404|1005|GET",
        "DELETE|/admin/catalogue|''|''|404|1005|DELETE",
        "GET|/admin/defect|''|''|503|1102|busy"
      })
  void shouldReturnProblemDocumentWhenRequestFails(
      String method,
      String path,
      String body,
      String ifMatch,
      int status,
      int number,
      String detail) {
    HttpResponse<String> response = asOperator(method, path, body.replace("MODEL", MODEL), ifMatch);
    assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
    assertThat(response.headers().firstValue("Content-Type")).contains("application/problem+json");
    assertThat(json(response).get("type").asText()).isEqualTo("urn:snipewick:problem:" + number);
    assertThat(json(response).get("detail").asText()).contains(detail);
    assertThat(json(response).get("outcome").asText()).isEqualTo("not-run");
  }

  @ParameterizedTest
  @CsvSource({
    "garbage, 400, 1001",
    "GET /admin/health HTTP/3.7, 400, 1001",
    "GET /admin/health HTTP/1.1~no colon, 400, 1001",
    "GET /admin/health HTTP/1.1~Long: LONG, 413, 1002"
  })
  void shouldReturnProblemAndServeNextRequestWhenRequestIsNotHttp(
      String sent, int status, int number) throws IOException {
    String text = sent.replace("LONG", "x".repeat(40_000)).replace("~", "\r\n") + "\r\n\r\n";
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.setSoTimeout(10_000);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
          .startsWith("HTTP/1.1 " + status)
          .contains("urn:snipewick:problem:" + number + "\"", "application/problem+json");
    }
    assertThat(send("GET", "/admin/health", "", Map.of()).statusCode()).isEqualTo(200);
  }

  @ParameterizedTest
  @CsvSource({"/admin/health, 200", "/admin/status, 401", "/admin/nothing, 404"})
  void shouldReturnNoBodyWhenMethodIsHead(String path, int status) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.setSoTimeout(10_000);
      String head = "HEAD " + path + " HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
          .startsWith("HTTP/1.1 " + status)
          .endsWith("\r\n\r\n");
    }
  }

  @ParameterizedTest
  @CsvSource({"engine-1, engine-1", "a%2Fb, a/b", "a%2Bb, a+b", "a%25b, a%b"})
  void shouldDecodeParametersWhenTheyArePartOfPath(String sent, String expected) {
    HttpResponse<String> response =
        asOperator("POST", "/admin/pools/wick/endpoints/" + sent + "/orders", "{}", "");

    assertThat(json(response).path("pool").asText()).isEqualTo("wick");
    assertThat(json(response).path("endpoint").asText()).isEqualTo(expected);
  }

  @Test
  void shouldReturnChangeIdentifierWhenOutcomeIsUnknown() {
    table.setFault(InMemoryTable.Fault.LOST_WRITE);
    HttpResponse<String> response =
        asOperator("POST", "/admin/catalogue/edits", "{\"edits\":[" + MODEL + "]}", "\"0\"");
    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(json(response).get("outcome").asText()).isEqualTo("unknown");
    assertThat(json(response).get("changeId").asText()).startsWith("1-");
    assertThat(response.headers().firstValue("Retry-After")).contains("2");
  }

  @ParameterizedTest
  @CsvSource({"''", "Bearer wrong", "Basic secret", "Bearer", "secret"})
  void shouldRefuseWhenTokenBelongsToNoOperator(String authorization) {
    Map<String, String> headers =
        authorization.isEmpty() ? Map.of() : Map.of("Authorization", authorization);
    for (String path : List.of("/admin/catalogue", "/admin/status", "/admin/timeline")) {
      assertThat(send("GET", path, "", headers).statusCode()).isEqualTo(401);
    }
    assertThat(send("POST", "/admin/stop", "", headers).statusCode()).isEqualTo(401);
    assertThat(stopped).isFalse();
  }

  @Test
  void shouldServeHealthAndMetricsWhenTokenIsMissing() {
    assertThat(send("GET", "/admin/health", "", Map.of()).statusCode()).isEqualTo(200);
    assertThat(send("GET", "/admin/metrics", "", Map.of()).body()).isEqualTo("up 1\n");
    healthy.set(false);
    assertThat(send("GET", "/admin/health", "", Map.of()).statusCode()).isEqualTo(503);
  }

  @Test
  void shouldReturnStatusAndStopWhenOperatorRequestsThem() {
    JsonNode status = json(asOperator("GET", "/admin/status", "", ""));
    assertThat(status.at("/catalogue/platformReachable").asBoolean()).isTrue();
    assertThat(json(asOperator("GET", "/admin/timeline?subject=x", "", "")).toString())
        .isEqualTo("[\"x\"]");
    assertThat(asOperator("POST", "/admin/stop", "", "").statusCode()).isEqualTo(200);
    assertThat(stopped).isTrue();
  }

  @Test
  void shouldRefuseBodyWhenItIsTooLarge() {
    HttpResponse<String> response =
        asOperator("POST", "/admin/catalogue/edits", "x".repeat(5 * 1024 * 1024), "\"0\"");
    assertThat(response.statusCode()).isEqualTo(413);
  }
}
