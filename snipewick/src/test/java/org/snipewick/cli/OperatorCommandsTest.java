package org.snipewick.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards that commands send the right request and return the exit code of each kind of response.
 */
class OperatorCommandsTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String PROBLEM =
      "{\"type\":\"urn:snipewick:problem:1301\",\"outcome\":\"not-run\"}";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final List<String> received = new CopyOnWriteArrayList<>();
  private HttpServer instance;
  private volatile int status = 200;
  private volatile String body = "{\"version\":7,\"events\":[]}";
  @TempDir private Path directory;

  @BeforeEach
  void start() throws IOException {
    instance = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    instance.createContext("/", this::respond);
    instance.start();
    Files.writeString(directory.resolve("edits.yaml"), "edits: [{edit: put}]\n");
  }

  @AfterEach
  void stop() {
    instance.stop(0);
  }

  private void respond(HttpExchange exchange) throws IOException {
    String content = new String(exchange.getRequestBody().readAllBytes(), UTF_8);
    received.add(exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + content);
    byte[] bytes = body.getBytes(UTF_8);
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  /** Command lines, each with the last request that it sends. */
  private static Stream<Arguments> commands() {
    String orders = "POST /admin/pools/wick/endpoints/engine-1/orders ";
    return Stream.of(
        Arguments.of("catalogue get", "GET /admin/catalogue "),
        Arguments.of(
            "catalogue put --base 7 FILE",
            "POST /admin/catalogue/edits {\"edits\":[{\"edit\":\"put\"}]}"),
        Arguments.of(
            "catalogue put FILE", "POST /admin/catalogue/edits {\"edits\":[{\"edit\":\"put\"}]}"),
        Arguments.of("catalogue history --after 3", "GET /admin/catalogue/history?after=3 "),
        Arguments.of("status", "GET /admin/status "),
        Arguments.of("timeline --subject a/b", "GET /admin/timeline?subject=a%2Fb "),
        Arguments.of("stop", "POST /admin/stop {}"),
        Arguments.of(
            "endpoint load --pool wick --endpoint engine-1 routeplanner",
            orders + "{\"order\":\"load\",\"argument\":\"routeplanner\"}"),
        Arguments.of(
            "endpoint unload --pool wick --endpoint engine-1 routeplanner",
            orders + "{\"order\":\"unload\",\"argument\":\"routeplanner\"}"),
        Arguments.of(
            "endpoint role --pool wick --endpoint engine-1 prefill",
            orders + "{\"order\":\"role\",\"argument\":\"prefill\"}"));
  }

  /** Status and body of a response, with the exit code of the command that receives it. */
  private static Stream<Arguments> responses() {
    return Stream.of(
        Arguments.of(200, "{\"version\":7,\"events\":[]}", ExitCode.SUCCESS),
        Arguments.of(400, PROBLEM, ExitCode.REFUSED),
        Arguments.of(401, PROBLEM, ExitCode.REFUSED),
        Arguments.of(404, PROBLEM, ExitCode.REFUSED),
        Arguments.of(409, PROBLEM, ExitCode.REFUSED),
        Arguments.of(422, PROBLEM, ExitCode.REFUSED),
        Arguments.of(500, PROBLEM, ExitCode.FAILED),
        Arguments.of(502, PROBLEM, ExitCode.FAILED),
        Arguments.of(503, PROBLEM, ExitCode.FAILED),
        Arguments.of(200, "not JSON", ExitCode.FAILED));
  }

  private static Stream<Arguments> commandsAndResponses() {
    return commands()
        .flatMap(
            command ->
                responses()
                    .map(
                        response ->
                            Arguments.of(
                                command.get()[0],
                                response.get()[0],
                                response.get()[1],
                                response.get()[2])));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("commands")
  void shouldSendRequestOfCommandWhenInstanceResponds(String line, String request) {
    assertThat(run(line)).isEqualTo(ExitCode.SUCCESS);
    assertThat(received.get(received.size() - 1)).isEqualTo(request);
    assertThat(err.toString(UTF_8)).isEmpty();
  }

  @ParameterizedTest(name = "{0}: {1} {2}")
  @MethodSource("commandsAndResponses")
  void shouldReturnExitCodeOfResponseWhenInstanceResponds(
      String line, int responseStatus, String content, ExitCode expected) throws IOException {
    status = responseStatus;
    body = content;

    assertThat(run(line + " --json")).isEqualTo(expected);

    assertThat(err.toString(UTF_8).isEmpty()).isEqualTo(expected == ExitCode.SUCCESS);
    if (!out.toString(UTF_8).isEmpty()) {
      JsonNode printed = JSON.readTree(out.toString(UTF_8));
      assertThat(printed.isContainerNode()).isTrue();
    }
    boolean expectsDocument = responseStatus == 200 || !line.startsWith("timeline");
    if (expectsDocument && !content.equals("not JSON")) {
      assertThat(out.toString(UTF_8)).isNotEmpty();
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("commands")
  void shouldFailWhenNoServerListens(String line, String request) {
    instance.stop(0);

    assertThat(run(line)).isEqualTo(ExitCode.FAILED);
    assertThat(err.toString(UTF_8)).startsWith("failed: 127.0.0.1:");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "status",
        "status --address",
        "status --address nowhere",
        "status --address :80",
        "status --address 127.0.0.1:0",
        "status --address 127.0.0.1:70000",
        "status --address a/b:80",
        "timeline --address 127.0.0.1:1 --also nowhere",
        "catalogue",
        "catalogue drop",
        "catalogue put --address 127.0.0.1:1",
        "catalogue put --address 127.0.0.1:1 --base x missing.yaml",
        "catalogue put --address 127.0.0.1:1 missing.yaml",
        "catalogue history --address 127.0.0.1:1 --after soon",
        "endpoint load --address 127.0.0.1:1 --pool wick x",
        "endpoint load --address 127.0.0.1:1 --endpoint e x",
        "endpoint load --address 127.0.0.1:1 --pool wick --endpoint e",
        "endpoint move --address 127.0.0.1:1",
        "settings check",
        "settings",
        "entry",
        "version 7"
      })
  void shouldReturnUsageWhenCommandLineIsInvalid(String line) {
    assertThat(execute(line.split(" ", -1))).isEqualTo(ExitCode.USAGE);
    assertThat(out.toString(UTF_8) + err.toString(UTF_8)).isNotBlank();
    assertThat(received).isEmpty();
  }

  @Test
  void shouldFailWithoutStackTraceWhenAddressIsInUse() throws IOException {
    int port = instance.getAddress().getPort();
    Path file =
        Files.writeString(
            directory.resolve("entry.yaml"),
            """
            instance: wien-a.1
            failureDomain: wien-a
            failureDomains: [wien-a]
            callers: {host: 127.0.0.1, port: %1$d}
            operators: {host: 127.0.0.1, port: %1$d, accounts: []}
            peers: {host: 127.0.0.1, port: %1$d}
            platform: {host: 127.0.0.1, port: 1}
            """
                .formatted(port));

    assertThat(execute("entry", "--settings", file.toString())).isEqualTo(ExitCode.FAILED);
    assertThat(err.toString(UTF_8)).startsWith("failed: ").contains(Integer.toString(port));
  }

  private ExitCode run(String line) {
    List<String> arguments = new ArrayList<>();
    for (String word : line.split(" ", -1)) {
      arguments.add(word.equals("FILE") ? directory.resolve("edits.yaml").toString() : word);
    }
    arguments.addAll(
        List.of("--address", "127.0.0.1:" + instance.getAddress().getPort(), "--token", "secret"));
    return execute(arguments.toArray(String[]::new));
  }

  private ExitCode execute(String... arguments) {
    return Main.run(
        arguments,
        new Console(new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8)));
  }
}
