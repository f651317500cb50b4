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

/** Client of an instance's operators' address. */
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

  Reply get(String path) {
    return send(request(path).GET().build());
  }

  Reply post(String path, JsonNode body) {
    return send(request(path).POST(BodyPublishers.ofString(body.toString())).build());
  }

  Reply post(String path, JsonNode body, long version) {
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

  private Reply send(HttpRequest request) {
    try {
      HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
      return new Reply.Answered(response.statusCode(), parse(response.body()));
    } catch (IOException | IllegalArgumentException failure) {
      return new Reply.NotAnswered(address + ": " + failure);
    } catch (InterruptedException failure) {
      Thread.currentThread().interrupt();
      return new Reply.NotAnswered(address + ": interrupted");
    }
  }

  private static JsonNode parse(String body) throws IOException {
    return body.isBlank() ? MissingNode.getInstance() : MAPPER.readTree(body);
  }

  /** What came back from an instance. */
  sealed interface Reply {

    /**
     * The instance answered.
     *
     * @param status HTTP status
     * @param body content, missing if empty
     */
    record Answered(int status, JsonNode body) implements Reply {
      @Override
      public boolean isSuccess() {
        return status >= 200 && status < 300;
      }
    }

    /**
     * The instance could not be reached or did not answer.
     *
     * @param detail what happened
     */
    record NotAnswered(String detail) implements Reply {
      @Override
      public boolean isSuccess() {
        return false;
      }
    }

    /**
     * Tells whether the instance did what was asked.
     *
     * @return whether it answered with a success
     */
    boolean isSuccess();

    /**
     * Reports a reply that is not a success.
     *
     * @param console where to write
     * @param json whether programs read the output
     * @return how the command ends
     */
    default ExitCode report(Console console, boolean json) {
      if (this instanceof Answered answered) {
        ExitCode code = answered.status() >= 500 ? ExitCode.FAILED : ExitCode.REFUSED;
        console.err().println(code.name().toLowerCase(Locale.ROOT) + ": " + answered.body());
        if (json) {
          console.printJson(answered.body());
        }
        return code;
      }
      console.err().println("failed: " + ((NotAnswered) this).detail());
      return ExitCode.FAILED;
    }
  }
}
