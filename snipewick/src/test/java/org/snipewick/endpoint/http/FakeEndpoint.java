package org.snipewick.endpoint.http;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.Tier;
import org.snipewick.pool.EndpointStatus;

/** HTTP endpoint in the process of the test. A script determines the response to each request. */
public final class FakeEndpoint implements AutoCloseable {

  /** Handler of requests. */
  @FunctionalInterface
  public interface Script {

    /**
     * Responds to a request, in full or in part.
     *
     * @param call request and its response
     * @throws IOException if the connection was closed
     */
    void respond(Call call) throws IOException;
  }

  /** Request and its response. */
  public static final class Call {
    private final HttpExchange exchange;
    private final String body;

    Call(HttpExchange exchange) throws IOException {
      this.exchange = exchange;
      this.body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    }

    /** Returns method, path and query. */
    public String requestLine() {
      return exchange.getRequestMethod() + " " + exchange.getRequestURI();
    }

    /** Returns the body of the request. */
    public String body() {
      return body;
    }

    /** Returns a header of the request. */
    public String header(String name) {
      return exchange.getRequestHeaders().getFirst(name);
    }

    /** Sets a header of the response. */
    public void setHeader(String name, String value) {
      exchange.getResponseHeaders().set(name, value);
    }

    /** Sends a complete response. */
    public void respond(int status, String text) throws IOException {
      respondTruncated(status, text, 0);
    }

    /** Sends a response whose content length exceeds its body by the missing bytes. */
    public void respondTruncated(int status, String text, int missingBytes) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().putIfAbsent("Content-Type", List.of("application/json"));
      exchange.sendResponseHeaders(
          status, bytes.length + missingBytes == 0 ? -1 : bytes.length + missingBytes);
      exchange.getResponseBody().write(bytes);
    }

    /** Sends the head of a stream of events. */
    public void beginStream() throws IOException {
      exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
      exchange.sendResponseHeaders(200, 0);
    }

    /** Sends an event of a stream. */
    public void sendEvent(String data) throws IOException {
      OutputStream out = exchange.getResponseBody();
      out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    /** Sends numbered tokens; the one with the number {@code last} has the finish reason. */
    public void sendTokens(int from, int to, int last) throws IOException {
      for (int number = from; number <= to; number++) {
        sendEvent(token(number, number == last));
      }
    }

    /** Sends the terminator of a stream and ends the response. */
    public void sendTerminator() throws IOException {
      sendEvent("[DONE]");
      exchange.getResponseBody().close();
    }

    /** Sends events until the client closes the connection, and then counts down the latch. */
    public void sendEventsUntilClosed(CountDownLatch closed) {
      try {
        for (int number = 1; number < 100_000; number++) {
          sendEvent(token(number, false));
          if (closed.await(5, TimeUnit.MILLISECONDS)) {
            return;
          }
        }
      } catch (IOException connectionClosed) {
        closed.countDown();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final BlockingQueue<String> requestLines = new LinkedBlockingQueue<>();
  private final ConcurrentLinkedQueue<Call> calls = new ConcurrentLinkedQueue<>();
  private volatile Script script;

  private FakeEndpoint(HttpServer server, Script script) {
    this.server = server;
    this.script = script;
  }

  /** Starts an endpoint on a free port. */
  public static FakeEndpoint start(Script script) {
    try {
      HttpServer server =
          HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
      FakeEndpoint endpoint = new FakeEndpoint(server, script);
      server.setExecutor(endpoint.threads);
      server.createContext("/", endpoint::handle);
      server.start();
      return endpoint;
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }

  /** Returns a complete response with the given text. */
  public static String completion(String text) {
    return "{\"choices\":[{\"message\":{\"content\":\""
        + text
        + "\"},\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":3}}";
  }

  /** Returns the payload of an event with one numbered token; the last one has a finish reason. */
  public static String token(int number, boolean last) {
    return "{\"choices\":[{\"delta\":{\"content\":\"t"
        + number
        + "\"},\"finish_reason\":"
        + (last ? "\"stop\"" : "null")
        + "}]}";
  }

  /** Replaces the script for the requests that follow. */
  public void setScript(Script replacement) {
    script = replacement;
  }

  /** Waits up to 10 s for the next request and returns its method, path and query. */
  public String awaitRequestLine() {
    try {
      String line = requestLines.poll(10, TimeUnit.SECONDS);
      if (line == null) {
        throw new AssertionError("no request within 10 s");
      }
      return line;
    } catch (InterruptedException interrupted) {
      throw new AssertionError(interrupted);
    }
  }

  /** Returns the number of dispatches, without resumes, cancellations and load reports. */
  public long dispatches() {
    return calls.stream()
        .map(Call::requestLine)
        .filter(line -> !line.contains("/v1/requests/") && !line.endsWith("/load"))
        .count();
  }

  /** Returns all requests received so far. */
  public List<Call> calls() {
    return List.copyOf(calls);
  }

  /** Returns the status of this endpoint, as a scheduler stores it. */
  public EndpointStatus status(String name) {
    return status(name, server.getAddress().getPort());
  }

  /** Returns the status of a live endpoint at a port of this host. */
  public static EndpointStatus status(String name, int port) {
    return new EndpointStatus(
        EndpointId.of(name),
        "127.0.0.1",
        port,
        EndpointStatus.State.LIVE,
        Tier.FOUR,
        100,
        0,
        -1,
        -1,
        -1,
        0);
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      Call call = new Call(exchange);
      calls.add(call);
      requestLines.add(call.requestLine());
      if (call.requestLine().startsWith("DELETE")) {
        exchange.sendResponseHeaders(204, -1);
      } else {
        script.respond(call);
      }
    }
  }
}
