package org.snipewick.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.snipewick.standins.server.Responses;
import org.snipewick.standins.server.StandIn;
import org.snipewick.standins.server.StandInServer;

/** Client of a stand-in that it starts and stops. */
public final class Client implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final StandInServer server;
  private final HttpClient http = HttpClient.newHttpClient();

  /** Starts a stand-in on a free port. */
  public Client(StandIn.Factory factory) {
    server = StandInServer.start(0, factory);
  }

  /** Sends a request and returns the response with its body as text. */
  public HttpResponse<String> call(String method, String path, String body, String... headers) {
    return send(method, path, body, BodyHandlers.ofString(), headers);
  }

  /** Sends a GET and returns the body of the response as JSON. */
  public JsonNode get(String path) {
    return json(call("GET", path, "").body());
  }

  /** Opens a stream of server-sent events. */
  public Events events(String method, String path, String body, String... headers) {
    return new Events(send(method, path, body, BodyHandlers.ofInputStream(), headers).body());
  }

  /** Polls a resource until it is as expected; fails after 10 s. */
  public JsonNode await(String path, Predicate<JsonNode> expected) {
    long endNanos = System.nanoTime() + TIMEOUT.toNanos();
    JsonNode seen = get(path);
    while (!expected.test(seen)) {
      if (System.nanoTime() > endNanos) {
        throw new AssertionError("Timed out while waiting, last seen: " + seen);
      }
      seen = get(path);
    }
    return seen;
  }

  /** Parses JSON. */
  public static JsonNode json(String text) {
    try {
      return Responses.JSON.readTree(text);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private <T> HttpResponse<T> send(
      String method,
      String path,
      String body,
      HttpResponse.BodyHandler<T> handler,
      String... headers) {
    URI address = URI.create("http://" + server.host() + ":" + server.port() + path);
    HttpRequest.Builder request =
        HttpRequest.newBuilder(address)
            .timeout(TIMEOUT)
            .method(method, BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    try {
      return http.send(request.build(), handler);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(interrupted);
    }
  }

  @Override
  public void close() {
    server.close();
  }

  /** Reader of a stream of server-sent events. */
  public static final class Events implements AutoCloseable {
    private final BufferedReader lines;

    private Events(InputStream stream) {
      lines = new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8));
    }

    /**
     * Returns the content of up to a number of events, fewer if the stream ends. Adds the text
     * "broken" if the connection fails.
     */
    public List<String> read(int limit) {
      List<String> events = new ArrayList<>();
      try {
        String line = "";
        while (events.size() < limit && line != null) {
          line = lines.readLine();
          if (line != null && line.startsWith("data: ")) {
            events.add(line.substring("data: ".length()));
          }
        }
      } catch (IOException broken) {
        events.add("broken");
      }
      return events;
    }

    @Override
    public void close() {
      try {
        lines.close();
      } catch (IOException failure) {
        throw new UncheckedIOException(failure);
      }
    }
  }
}
