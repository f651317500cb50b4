package org.snipewick.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.net.Inet6Address;
import java.net.InetAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.snipewick.transport.EventloopTimerService;
import org.snipewick.transport.Exchange;
import org.snipewick.transport.HttpTransport;
import org.snipewick.transport.TransportSettings;

/** HTTP client of the administrative API of an instance. Waits for each response. */
final class OperatorClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final String address;
  private final String token;
  private final Duration timeout;

  private OperatorClient(String address, String token, Duration timeout) {
    this.address = address;
    this.token = token;
    this.timeout = timeout;
  }

  static OperatorClient of(String address, String token, Duration timeout) {
    return new OperatorClient(
        requireNonNull(address, "address"),
        requireNonNull(token, "token"),
        requireNonNull(timeout, "timeout"));
  }

  Response get(String path) {
    return send(HttpMethod.GET, path, request -> {});
  }

  Response post(String path, JsonNode body) {
    return send(HttpMethod.POST, path, request -> request.setBody(bytes(body)));
  }

  Response post(String path, JsonNode body, long version) {
    return send(
        HttpMethod.POST,
        path,
        request -> {
          request.addHeader(HttpHeaders.IF_MATCH, '"' + Long.toString(version) + '"');
          request.setBody(bytes(body));
        });
  }

  private static byte[] bytes(JsonNode body) {
    return body.toString().getBytes(UTF_8);
  }

  private Response send(HttpMethod method, String path, Consumer<HttpRequest> content) {
    Eventloop eventloop = EventloopTimerService.monotonicEventloop().withCurrentThread();
    HttpTransport transport = HttpTransport.of(eventloop, TransportSettings.of(CONNECT_TIMEOUT));
    AtomicReference<Response> received = new AtomicReference<>();
    try {
      HttpRequest request =
          HttpRequest.of(method, "http://" + resolvedAddress() + path)
              .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
              .withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + checkedToken());
      content.accept(request);
      Exchange exchange = Exchange.of();
      Promises.timeout(timeout, transport.send(request, exchange).then(OperatorClient::read))
          .run(
              (response, thrown) -> {
                received.set(thrown == null ? response : notReceived(thrown));
                exchange.cancel();
              });
      eventloop.run();
      return received.get();
    } catch (IOException | IllegalArgumentException failure) {
      return notReceived(failure);
    }
  }

  private static Promise<Response> read(HttpResponse response) {
    return response
        .loadBody()
        .map(body -> new Response.Received(response.getCode(), parse(body.asString(UTF_8))));
  }

  private Response notReceived(Exception failure) {
    return new Response.NotReceived(address + ": " + failure);
  }

  /** Returns the address with a numeric host, as the event loop does not resolve names. */
  private String resolvedAddress() throws IOException {
    int colon = address.lastIndexOf(':');
    InetAddress host = InetAddress.getByName(address.substring(0, colon));
    String numeric = host.getHostAddress();
    return (host instanceof Inet6Address ? "[" + numeric + "]" : numeric)
        + address.substring(colon);
  }

  private String checkedToken() {
    if (token.chars().anyMatch(Character::isISOControl)) {
      throw new IllegalArgumentException("token has a control character");
    }
    return token;
  }

  private static JsonNode parse(String body) throws IOException {
    return body.isBlank() ? MissingNode.getInstance() : MAPPER.readTree(body);
  }

  /** Result of a request to an instance. */
  sealed interface Response {

    /**
     * The instance responded.
     *
     * @param status HTTP status
     * @param body JSON content; a {@link MissingNode} if the response has none
     */
    record Received(int status, JsonNode body) implements Response {
      @Override
      public boolean isSuccess() {
        return status >= 200 && status < 300;
      }
    }

    /**
     * The instance could not be reached, did not respond in time or sent a body that is not JSON.
     *
     * @param detail address of the instance and the error
     */
    record NotReceived(String detail) implements Response {
      @Override
      public boolean isSuccess() {
        return false;
      }
    }

    /**
     * Returns whether the instance responded with success.
     *
     * @return whether a response with a 2xx status was received
     */
    boolean isSuccess();

    /**
     * Prints a response that is not a success.
     *
     * @param console streams to write to
     * @param json whether to print a JSON body on standard output, too
     * @return exit code of the command
     */
    default ExitCode report(Console console, boolean json) {
      if (this instanceof Received received) {
        ExitCode code = received.status() >= 500 ? ExitCode.FAILED : ExitCode.REFUSED;
        console.err().println(code.name().toLowerCase(Locale.ROOT) + ": " + received.body());
        if (json) {
          console.printJson(received.body());
        }
        return code;
      }
      console.err().println("failed: " + ((NotReceived) this).detail());
      return ExitCode.FAILED;
    }
  }
}
