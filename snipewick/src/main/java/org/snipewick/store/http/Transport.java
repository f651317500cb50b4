package org.snipewick.store.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** Sends HTTP calls to the platform and classes what comes of them. */
final class Transport implements AutoCloseable {
  private static final int THREADS = 2;
  private static final int TIMEOUTS_FOR_WHOLE_ANSWER = 2;

  private final ExecutorService executor = Executors.newFixedThreadPool(THREADS, Transport::thread);
  private final HttpClient client;
  private final String address;
  private final Duration timeout;

  private Transport(PlatformSettings settings) {
    timeout = Duration.ofMillis(settings.timeoutMillis());
    address = "http://" + settings.host() + ":" + settings.port();
    client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(timeout)
            .executor(executor)
            .build();
  }

  static Transport of(PlatformSettings settings) {
    return new Transport(requireNonNull(settings, "settings"));
  }

  static String encode(String name) {
    return URLEncoder.encode(name, UTF_8).replace("+", "%20");
  }

  /** Asks for a head without content; never fails. */
  CompletableFuture<Reply> head(String path) {
    return send(HttpRequest.newBuilder().method("HEAD", BodyPublishers.noBody()), path);
  }

  /** Sends a call that reads; never fails. */
  CompletableFuture<Reply> get(String path) {
    return send(HttpRequest.newBuilder().GET(), path);
  }

  /** Reads what has changed since an entity tag; never fails. */
  CompletableFuture<Reply> get(String path, String entityTag) {
    return send(HttpRequest.newBuilder().GET().header("If-None-Match", entityTag), path);
  }

  /** Sends a call with a body; never fails. */
  CompletableFuture<Reply> send(String method, String path, byte[] body) {
    return send(HttpRequest.newBuilder().method(method, BodyPublishers.ofByteArray(body)), path);
  }

  private CompletableFuture<Reply> send(HttpRequest.Builder call, String path) {
    HttpRequest request = call.uri(URI.create(address + path)).timeout(timeout).build();
    try {
      return client
          .sendAsync(request, BodyHandlers.ofByteArray())
          .handle((response, failure) -> response == null ? failed(failure) : answered(response))
          .completeOnTimeout(
              new Reply.Lost("no whole answer in time"),
              TIMEOUTS_FOR_WHOLE_ANSWER * timeout.toMillis(),
              TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException closed) {
      return CompletableFuture.completedFuture(new Reply.NotSent("client is closed"));
    }
  }

  private static Reply answered(HttpResponse<byte[]> response) {
    return new Reply.Answered(
        response.statusCode(), response.headers().firstValue("ETag"), response.body());
  }

  private static Reply failed(Throwable thrown) {
    Throwable cause =
        thrown instanceof CompletionException && thrown.getCause() != null
            ? thrown.getCause()
            : thrown;
    boolean notSent =
        cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
    return notSent ? new Reply.NotSent(cause.toString()) : new Reply.Lost(cause.toString());
  }

  private static Thread thread(Runnable task) {
    Thread thread = new Thread(task, "platform");
    thread.setDaemon(true);
    return thread;
  }

  @Override
  public void close() {
    executor.shutdown();
  }
}
