package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import io.activej.async.exception.AsyncCloseException;
import io.activej.eventloop.Eventloop;
import io.activej.eventloop.net.SocketSettings;
import io.activej.http.AsyncHttpServer;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import io.activej.net.WorkerServer;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Tracks the callers' connections on one event loop. The HTTP server does not read from a
 * connection while it serves a request, so this class detects that the caller has closed its side
 * meanwhile. It also closes connections on which the headers of a request take too long to arrive.
 * To be used on the event loop, except for {@link #isEmpty}.
 */
public final class CallerConnections implements WorkerServer, AsyncHttpServer.Inspector {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Part of the maximum number of connections, as its divisor, that may wait to be opened. */
  private static final int WAITING_DIVISOR = 4;

  private final Eventloop eventloop;
  private final LongSupplier headerTimeoutMillis;
  private final MalformedRequestResponder malformedRequestResponder;
  private final IdentityHashMap<HttpServerConnection, CallerConnection> connections =
      new IdentityHashMap<>();
  private AsyncHttpServer server;
  private SocketChannel acceptedChannel;
  private int maxConnections = Integer.MAX_VALUE;
  private Runnable onLimited = () -> {};
  private long progressCount;
  private long probedNanos;
  private AcceptQueue acceptQueue;
  private volatile boolean empty = true;

  private CallerConnections(
      Eventloop eventloop,
      LongSupplier headerTimeoutMillis,
      MalformedRequestResponder malformedRequestResponder) {
    this.eventloop = requireNonNull(eventloop, "eventloop");
    this.headerTimeoutMillis = requireNonNull(headerTimeoutMillis, "headerTimeoutMillis");
    this.malformedRequestResponder =
        requireNonNull(malformedRequestResponder, "malformedRequestResponder");
    acceptQueue = new AcceptQueue(eventloop, Integer.MAX_VALUE, this::open, onLimited);
  }

  /**
   * Creates a tracker for the connections of one server, without connections.
   *
   * @param eventloop event loop that serves the connections
   * @param headerTimeoutMillis supplies the maximum time for the request line and headers to
   *     arrive, in milliseconds
   * @param malformedRequestResponder renders responses to requests that the server cannot parse
   * @return tracker
   */
  public static CallerConnections of(
      Eventloop eventloop,
      LongSupplier headerTimeoutMillis,
      MalformedRequestResponder malformedRequestResponder) {
    return new CallerConnections(eventloop, headerTimeoutMillis, malformedRequestResponder);
  }

  /** Renders the response to a request that the HTTP server cannot parse. */
  @FunctionalInterface
  public interface MalformedRequestResponder {

    /**
     * Renders a response, after which the connection is closed.
     *
     * @param thrown exception of the HTTP parser
     * @param received bytes of the request that were received; empty if the fault is in its body
     * @return complete HTTP response, including its status line and headers
     */
    ByteBuffer render(Exception thrown, byte[] received);
  }

  /**
   * Sets the server that serves the connections.
   *
   * @param server server that has this tracker as its inspector
   */
  public void setServer(AsyncHttpServer server) {
    this.server = server;
  }

  /**
   * Limits the number of open connections. If it is reached, the connection whose request has been
   * incomplete for longest without progress is closed, or an idle one, or one that has stalled
   * after a response; if there is none, a new connection is closed.
   *
   * @param limit maximum number of connections
   * @param onLimited listener that is called for each connection that is closed
   */
  public void setLimit(ConnectionLimit limit, Runnable onLimited) {
    this.maxConnections = limit.maxConnections();
    this.onLimited = requireNonNull(onLimited, "onLimited");
    acceptQueue =
        new AcceptQueue(
            eventloop, Math.max(1, maxConnections / WAITING_DIVISOR), this::open, onLimited);
  }

  /**
   * Returns the number of open connections.
   *
   * @return number of connections
   */
  public int size() {
    return connections.size();
  }

  @Override
  public Eventloop getEventloop() {
    return eventloop;
  }

  @Override
  public void doAccept(
      SocketChannel channel,
      InetSocketAddress local,
      InetSocketAddress remote,
      boolean ssl,
      SocketSettings settings) {
    var accepted = new AcceptQueue.Accepted(channel, local, remote, ssl, settings);
    if (connections.size() < maxConnections && acceptQueue.isEmpty()) {
      open(accepted);
    } else {
      acceptQueue.add(accepted);
    }
  }

  private void open(AcceptQueue.Accepted accepted) {
    if (connections.size() >= maxConnections && !makeRoom()) {
      eventloop.closeChannel(accepted.channel(), null);
      return;
    }
    acceptedChannel = accepted.channel();
    try {
      server.doAccept(
          accepted.channel(),
          accepted.local(),
          accepted.remote(),
          accepted.ssl(),
          accepted.settings());
    } finally {
      acceptedChannel = null;
    }
  }

  /** Closes a connection that is not being served; returns whether there is room for another. */
  private boolean makeRoom() {
    onLimited.run();
    Optional<Map.Entry<HttpServerConnection, CallerConnection>> givesWay =
        connections.entrySet().stream()
            .filter(entry -> use(entry) != CallerConnection.Use.SERVING)
            .min(
                Comparator.comparing(this::use)
                    .thenComparingLong(entry -> entry.getValue().progress));
    givesWay.ifPresent(entry -> abort(entry.getKey(), "connection limit reached"));
    return givesWay.isPresent();
  }

  /**
   * Closes a connection at once, with whatever is being received or written.
   *
   * @param connection connection to close
   * @param reason reason, for the log of the HTTP server
   */
  public void abort(HttpServerConnection connection, String reason) {
    // A body that waits for its turn does not notice at once that its socket is closed.
    onDisconnect(connection);
    ConnectionSockets.of(connection).closeEx(new AsyncCloseException(reason));
  }

  /**
   * Sets a listener that runs once the response that is passed to the server has been written, a
   * probe period later at most, or the connection is closed.
   *
   * @param connection connection of the response
   * @param onWritten listener; runs at once if the connection is closed already
   */
  public void onceWritten(HttpServerConnection connection, Runnable onWritten) {
    CallerConnection tracked = connections.get(connection);
    if (tracked == null) {
      onWritten.run();
    } else {
      tracked.onWritten = onWritten;
    }
  }

  private CallerConnection.Use use(Map.Entry<HttpServerConnection, CallerConnection> entry) {
    return entry.getValue().use(entry.getKey(), probedNanos);
  }

  /**
   * Marks that the body of a request is being received. Has no effect if the connection is not
   * tracked.
   *
   * @param connection connection of the request
   */
  public void beginBody(HttpServerConnection connection) {
    CallerConnection tracked = connections.get(connection);
    if (tracked != null) {
      tracked.responseWritten();
      tracked.isReceivingBody = true;
      tracked.progress = ++progressCount;
    }
  }

  /**
   * Records that a further part of a body has arrived. Has no effect if the connection is not
   * tracked.
   *
   * @param connection connection of the request
   */
  public void recordProgress(HttpServerConnection connection) {
    CallerConnection tracked = connections.get(connection);
    if (tracked != null) {
      tracked.progress = ++progressCount;
    }
  }

  /**
   * Marks a request as being served. Has no effect if the connection is not tracked.
   *
   * @param connection connection of the request
   * @param onDisconnected listener that is called once if the caller closes the connection before
   *     {@link #endRequest}
   */
  public void beginRequest(HttpServerConnection connection, Runnable onDisconnected) {
    CallerConnection tracked = connections.get(connection);
    if (tracked != null) {
      tracked.isReceivingBody = false;
      tracked.onDisconnected = onDisconnected;
    }
  }

  /**
   * Marks a request as served: its response was passed to the server, which may still be writing
   * it.
   *
   * @param connection connection of the request
   * @param nowNanos monotonic time in nanoseconds
   */
  public void endRequest(HttpServerConnection connection, long nowNanos) {
    CallerConnection tracked = connections.get(connection);
    if (tracked != null) {
      tracked.onDisconnected = null;
      tracked.isReceivingBody = false;
      tracked.hasServed = true;
      tracked.progress = ++progressCount;
      tracked.headersAwaitedSinceNanos = nowNanos;
    }
  }

  /**
   * Closes a connection after the response that is being written. Bytes that the server has already
   * read from the connection may look like a further request, which must not be served.
   *
   * @param connection connection to close
   */
  public void closeAfterResponse(HttpServerConnection connection) {
    CallerConnection tracked = connections.get(connection);
    if (tracked != null) {
      tracked.isClosing = true;
      tracked.shutdownInput();
    }
  }

  /**
   * Returns whether {@link #closeAfterResponse} was called for a connection, so that no further
   * request on it may be served.
   *
   * @param connection connection on which a request was read
   * @return whether the request must not be served
   */
  public boolean isClosing(HttpServerConnection connection) {
    CallerConnection tracked = connections.get(connection);
    return tracked != null && tracked.isClosing;
  }

  /**
   * Closes a connection at once.
   *
   * @param connection connection to close
   */
  public void close(HttpServerConnection connection) {
    CallerConnection tracked = connections.get(connection);
    if (tracked != null) {
      tracked.close();
    }
  }

  /**
   * Returns whether there are no open connections. May be called on any thread.
   *
   * @return whether no connection is open
   */
  public boolean isEmpty() {
    return empty;
  }

  /**
   * Detects callers that have disconnected and closes the input of connections whose request
   * headers are late. To be called periodically, on the event loop.
   *
   * @param nowNanos monotonic time in nanoseconds
   */
  public void probe(long nowNanos) {
    probedNanos = nowNanos;
    for (Map.Entry<HttpServerConnection, CallerConnection> entry :
        List.copyOf(connections.entrySet())) {
      CallerConnection connection = entry.getValue();
      if (connection.use(entry.getKey(), nowNanos) == CallerConnection.Use.IDLE) {
        connection.responseWritten();
      }
      if (connection.onDisconnected != null) {
        connection.probe();
      } else {
        closeInputIfHeadersAreLate(entry.getKey(), connection, nowNanos);
      }
    }
  }

  /**
   * Returns whether a request is being served or its response is not yet fully written.
   *
   * @return whether closing the connections now would truncate a response
   */
  public boolean isBusy() {
    return connections.entrySet().stream()
        .anyMatch(entry -> entry.getValue().isInUse(entry.getKey()));
  }

  /** Closes all connections at once. */
  public void closeAll() {
    acceptQueue.closeAll();
    List.copyOf(connections.values()).forEach(CallerConnection::close);
  }

  /**
   * Closes the input of a connection whose request headers are late. The timeout does not run
   * between requests, because no request has started.
   */
  private void closeInputIfHeadersAreLate(
      HttpServerConnection key, CallerConnection connection, long nowNanos) {
    boolean awaitsHeaders =
        switch (key.getCurrentPool()) {
          case NEW, READ_WRITE -> true;
          default -> false;
        };
    if (!awaitsHeaders || connection.headersAwaitedSinceNanos == 0) {
      connection.headersAwaitedSinceNanos = nowNanos;
    } else if (nowNanos - connection.headersAwaitedSinceNanos
        > headerTimeoutMillis.getAsLong() * NANOS_PER_MILLI) {
      connection.shutdownInput();
    }
  }

  @Override
  public void onAccept(HttpServerConnection connection) {
    if (acceptedChannel != null) {
      connections.put(connection, new CallerConnection(acceptedChannel, ++progressCount));
      empty = false;
    }
  }

  @Override
  public void onDisconnect(HttpServerConnection connection) {
    CallerConnection tracked = connections.remove(connection);
    empty = connections.isEmpty();
    if (tracked != null) {
      tracked.responseWritten();
    }
    if (tracked != null && tracked.onDisconnected != null) {
      tracked.disconnected();
    }
  }

  @Override
  public void onHttpRequest(HttpRequest request) {}

  @Override
  public void onHttpResponse(HttpRequest request, HttpResponse response) {}

  @Override
  public void onServletException(HttpRequest request, Exception thrown) {}

  /** Responds if the body of a request turned out to be malformed while it was being received. */
  @Override
  public void onHttpError(HttpServerConnection connection, Exception thrown) {
    CallerConnection tracked = connections.get(connection);
    boolean isReceiving = tracked != null && tracked.onDisconnected == null;
    if (isReceiving && thrown instanceof MalformedHttpException) {
      tracked.sendFinalResponse(malformedRequestResponder.render(thrown, new byte[0]));
    }
  }

  /** Sends a response before the server sends its own, which has no body. */
  @Override
  public void onMalformedHttpRequest(
      HttpServerConnection connection, MalformedHttpException thrown, byte[] received) {
    CallerConnection tracked = connections.get(connection);
    if (tracked != null) {
      tracked.sendFinalResponse(malformedRequestResponder.render(thrown, received));
    }
  }

  @Override
  public <T extends AsyncHttpServer.Inspector> T lookup(Class<T> type) {
    return type.isInstance(this) ? type.cast(this) : null;
  }
}
