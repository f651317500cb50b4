package org.snipewick.standins.server;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.activej.eventloop.Eventloop;
import io.activej.eventloop.net.ServerSocketSettings;
import io.activej.http.AsyncHttpServer;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.net.AbstractServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** HTTP server of one stand-in, with its event loop, fault injection and control calls. */
public final class StandInServer implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final String CONTROL_PREFIX = "/control/";
  private static final int BACKLOG = 1024;
  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofMinutes(10);

  /** Time after the start of a stop within which calls in flight can finish. */
  private static final long STOP_GRACE_MILLIS = 10_000;

  private final Eventloop eventloop = Eventloop.create().withThreadName("stand-in");
  private final CountDownLatch ended = new CountDownLatch(1);
  private final Set<SettablePromise<HttpResponse>> hangingResponses = new HashSet<>();
  private final StandIn standIn;
  private final AsyncHttpServer server;
  private final ServerSocketChannel listeningChannel;
  private Faults faults = Faults.none();

  private StandInServer(int port, StandIn.Factory factory) throws IOException {
    ConnectionTracker tracker = new ConnectionTracker();
    standIn = factory.create(eventloop, () -> faults);
    server =
        AsyncHttpServer.create(eventloop, this::serve)
            .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
            .withSocketInspector(tracker.socketInspector())
            .withInspector(tracker);
    server.listen();
    listeningChannel =
        eventloop.listen(
            new InetSocketAddress(HOST, port), ServerSocketSettings.create(BACKLOG), this::accept);
  }

  /**
   * Starts a stand-in on a thread of its own.
   *
   * @param port port on 127.0.0.1, 0 for any free one
   * @param factory creates the behaviour
   * @return running server
   * @throws UncheckedIOException if the port cannot be listened on
   */
  public static StandInServer start(int port, StandIn.Factory factory) {
    requireNonNull(factory, "factory");
    try {
      StandInServer created = new StandInServer(port, factory);
      Thread thread = new Thread(created::run, "stand-in");
      thread.start();
      return created;
    } catch (IOException failure) {
      throw new UncheckedIOException("Cannot listen on port " + port, failure);
    }
  }

  /**
   * Returns the address that the server listens on.
   *
   * @return IP address
   */
  public String host() {
    return HOST;
  }

  /**
   * Returns the port that the server listens on.
   *
   * @return port number
   */
  public int port() {
    return listeningChannel.socket().getLocalPort();
  }

  /**
   * Stops accepting connections and waits until the calls in flight have finished. Closes the
   * connections that are left after 10 s.
   */
  @Override
  public void close() {
    eventloop.execute(this::stop);
    awaitEnd(STOP_GRACE_MILLIS);
  }

  /** Waits until the server has stopped or the thread is interrupted. */
  public void awaitEnd() {
    awaitEnd(Long.MAX_VALUE);
  }

  private void awaitEnd(long timeoutMillis) {
    try {
      if (!ended.await(timeoutMillis, TimeUnit.MILLISECONDS)) {
        eventloop.execute(this::end);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    eventloop.keepAlive(true);
    eventloop.run();
    ended.countDown();
  }

  private void stop() {
    eventloop.closeChannel(listeningChannel, listeningChannel.keyFor(eventloop.ensureSelector()));
    Set.copyOf(hangingResponses).forEach(promise -> promise.set(Responses.refused("stopping")));
    hangingResponses.clear();
    server.close().whenComplete(this::end);
  }

  private void end() {
    for (SelectionKey key : List.copyOf(eventloop.ensureSelector().keys())) {
      eventloop.closeChannel(key.channel(), key);
    }
    eventloop.breakEventloop();
  }

  private void accept(SocketChannel channel) {
    try {
      server.doAccept(
          channel,
          (InetSocketAddress) channel.getLocalAddress(),
          (InetSocketAddress) channel.getRemoteAddress(),
          false,
          AbstractServer.DEFAULT_SOCKET_SETTINGS);
    } catch (IOException failure) {
      eventloop.closeChannel(channel, null);
    }
  }

  private Promise<HttpResponse> serve(HttpRequest request) {
    Connection connection = (Connection) request.getConnection().getUserData();
    return request
        .loadBody()
        .then(body -> dispatch(new Call(request, body.getArray(), connection)));
  }

  private Promise<HttpResponse> dispatch(Call call) {
    if (call.path().startsWith(CONTROL_PREFIX)) {
      return handle(() -> control(call));
    }
    if (faults.hang()) {
      SettablePromise<HttpResponse> neverCompleted = new SettablePromise<>();
      hangingResponses.add(neverCompleted);
      return neverCompleted;
    }
    return faults.delayMillis() > 0
        ? Promises.delay(faults.delayMillis()).then(() -> serveAfterDelay(call))
        : serveAfterDelay(call);
  }

  private Promise<HttpResponse> serveAfterDelay(Call call) {
    if (faults.outage()) {
      return Promise.of(Responses.error(503, "outage"));
    }
    if (faults.refuse()) {
      return Promise.of(Responses.refused("refused"));
    }
    boolean isRead = call.method() == HttpMethod.GET;
    if (faults.lateMillis() > 0 && !isRead) {
      call.connection().abort();
      return Promises.delay(faults.lateMillis()).then(() -> handle(() -> standIn.serve(call)));
    }
    boolean losesResponse = faults.loseAnswers() && !isRead;
    return handle(() -> standIn.serve(call))
        .whenResult(
            () -> {
              if (losesResponse) {
                call.connection().abort();
              }
            });
  }

  private Promise<HttpResponse> control(Call call) throws JsonProcessingException {
    switch (call.path()) {
      case "/control/faults" -> faults = call.json(Faults.class);
      case "/control/truth" -> {
        return Promise.of(Responses.json(200, standIn.truth()));
      }
      case "/control/stop" -> eventloop.postLast(this::stop);
      default -> {
        return standIn.control(call);
      }
    }
    return Promise.of(HttpResponse.ofCode(204));
  }

  private static Promise<HttpResponse> handle(Handler handler) {
    try {
      return handler.handle();
    } catch (JsonProcessingException | IllegalArgumentException malformed) {
      return Promise.of(Responses.error(400, String.valueOf(malformed.getMessage())));
    }
  }

  @FunctionalInterface
  private interface Handler {
    Promise<HttpResponse> handle() throws JsonProcessingException;
  }
}
