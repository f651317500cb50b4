package org.snipewick.cli;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Locale;

/** HTTP client of the administrative API of an instance. */
final class OperatorClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
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
    return send(request(path).GET().build());
  }

  Response post(String path, JsonNode body) {
    return send(request(path).POST(BodyPublishers.ofString(body.toString())).build());
  }

  Response post(String path, JsonNode body, long version) {
    return send(
        request(path)
            .header("If-Match", '"' + Long.toString(version) + '"')
            .POST(BodyPublishers.ofString(body.toString()))
            .build());
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path))
        .timeout(timeout)
        .header("Content-Type", "application/json")
        .header("Authorization", "Bearer " + token);
  }

  private Response send(HttpRequest request) {
    try {
      HttpResponse<String> httpResponse = client.send(request, BodyHandlers.ofString());
      return new Response.Received(httpResponse.statusCode(), parse(httpResponse.body()));
    } catch (IOException | IllegalArgumentException failure) {
      return new Response.NotReceived(address + ": " + failure);
    } catch (InterruptedException failure) {
      Thread.currentThread().interrupt();
      return new Response.NotReceived(address + ": interrupted");
    }
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
