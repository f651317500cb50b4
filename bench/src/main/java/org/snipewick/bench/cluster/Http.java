package org.snipewick.bench.cluster;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** HTTP client of tests and measurements. */
public final class Http {
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private Http() {}

  /**
   * Sends a request.
   *
   * @param method HTTP method
   * @param url URL
   * @param body body, empty for none
   * @param headers headers by name
   * @return response; completes exceptionally with an {@link IOException} if the connection fails
   */
  public static CompletableFuture<HttpResponse<String>> send(
      String method, String url, String body, Map<String, String> headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(TIMEOUT)
            .method(
                method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
    headers.forEach(request::header);
    return CLIENT.sendAsync(request.build(), BodyHandlers.ofString());
  }

  /**
   * Sends a request and waits for the response.
   *
   * @param method HTTP method
   * @param url URL
   * @param body body, empty for none
   * @param headers headers by name
   * @return response
   * @throws java.util.concurrent.CompletionException if the connection fails
   */
  public static HttpResponse<String> await(
      String method, String url, String body, Map<String, String> headers) {
    return send(method, url, body, headers).join();
  }

  /**
   * Returns the state of a request, for the message of a failed test.
   *
   * @param call request that may still be in flight
   * @return status and body, the failure, or that there is no response yet
   */
  public static String progress(CompletableFuture<HttpResponse<String>> call) {
    return call.handle(
            (response, failure) ->
                failure == null
                    ? response.statusCode() + " " + response.body()
                    : failure.toString())
        .getNow("no response yet");
  }

  /**
   * Parses JSON.
   *
   * @param text JSON
   * @return tree
   * @throws UncheckedIOException if the text is not JSON
   */
  public static JsonNode json(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException failure) {
      throw new UncheckedIOException("not JSON: " + text, failure);
    }
  }

  /** Returns the port of an address of the form "host:port". */
  static int port(String address) {
    return Integer.parseInt(address.substring(address.indexOf(':') + 1));
  }

  /** Returns the counters of the stand-in at an address. */
  static JsonNode standInCounters(String address) {
    return json(await("GET", "http://" + address + "/control/truth", "", Map.of()).body());
  }

  /** Returns whether a GET request returns status 200 within 1 s. */
  static boolean isOk(String url) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofSeconds(1)).build();
      return CLIENT.send(request, BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException failure) {
      return false;
    } catch (InterruptedException failure) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Throws an {@link AssertionError} if a response does not report success. */
  static void requireSuccess(HttpResponse<String> response, String what) {
    if (response.statusCode() >= 300) {
      throw new AssertionError(what + " failed: " + response.statusCode() + " " + response.body());
    }
  }

  /** Returns the body of a chat completion request. */
  static String chatBody(String question, int tokens, boolean stream) {
    return ("{\"model\":\"planner\",\"stream\":%s,\"max_tokens\":%d,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}")
        .formatted(stream, tokens, question);
  }
}
