package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import io.activej.eventloop.Eventloop;
import io.activej.eventloop.net.SocketSettings;
import io.activej.http.AsyncHttpServer;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import io.activej.net.WorkerServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Tracks the callers' connections on one event loop. The HTTP server does not read from a
 * connection while it serves a request, so this class detects that the caller has closed its side
 * meanwhile. It also closes connections on which the headers of a request take too long to arrive.
 * To be used on the event loop, except for {@link #isEmpty}.
 */
public final class CallerConnections implements WorkerServer, AsyncHttpServer.Inspector {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Eventloop eventloop;
  private final LongSupplier headerTimeoutMillis;
  private final MalformedRequestResponder malformedRequestResponder;
  private final IdentityHashMap<HttpServerConnection, Connection> connections =
      new IdentityHashMap<>();
  private AsyncHttpServer server;
  private SocketChannel acceptedChannel;
  private volatile boolean empty = true;

  private CallerConnections(
      Eventloop eventloop,
      LongSupplier headerTimeoutMillis,
      MalformedRequestResponder malformedRequestResponder) {
    this.eventloop = requireNonNull(eventloop, "eventloop");
    this.headerTimeoutMillis = requireNonNull(headerTimeoutMillis, "headerTimeoutMillis");
    this.malformedRequestResponder =
        requireNonNull(malformedRequestResponder, "malformedRequestResponder");
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
    acceptedChannel = channel;
    try {
      server.doAccept(channel, local, remote, ssl, settings);
    } finally {
      acceptedChannel = null;
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
    Connection tracked = connections.get(connection);
    if (tracked != null) {
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
    Connection tracked = connections.get(connection);
    if (tracked != null) {
      tracked.onDisconnected = null;
      tracked.hasServed = true;
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
    Connection tracked = connections.get(connection);
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
    Connection tracked = connections.get(connection);
    return tracked != null && tracked.isClosing;
  }

  /**
   * Closes a connection at once.
   *
   * @param connection connection to close
   */
  public void close(HttpServerConnection connection) {
    Connection tracked = connections.get(connection);
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
    for (Map.Entry<HttpServerConnection, Connection> entry : List.copyOf(connections.entrySet())) {
      Connection connection = entry.getValue();
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
        .anyMatch(entry -> isInUse(entry.getKey(), entry.getValue()));
  }

  /** Closes all connections at once. */
  public void closeAll() {
    List.copyOf(connections.values()).forEach(Connection::close);
  }

  private static boolean isInUse(HttpServerConnection key, Connection connection) {
    return switch (key.getCurrentPool()) {
      case SERVING -> true;
      case READ_WRITE -> connection.onDisconnected != null || connection.hasServed;
      default -> connection.onDisconnected != null;
    };
  }

  /**
   * Closes the input of a connection whose request headers are late. The timeout does not run
   * between requests, because no request has started.
   */
  private void closeInputIfHeadersAreLate(
      HttpServerConnection key, Connection connection, long nowNanos) {
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
      connections.put(connection, new Connection(acceptedChannel));
      empty = false;
    }
  }

  @Override
  public void onDisconnect(HttpServerConnection connection) {
    Connection tracked = connections.remove(connection);
    empty = connections.isEmpty();
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
    Connection tracked = connections.get(connection);
    boolean isReceiving = tracked != null && tracked.onDisconnected == null;
    if (isReceiving && thrown instanceof MalformedHttpException) {
      tracked.sendFinalResponse(malformedRequestResponder.render(thrown, new byte[0]));
    }
  }

  /** Sends a response before the server sends its own, which has no body. */
  @Override
  public void onMalformedHttpRequest(
      HttpServerConnection connection, MalformedHttpException thrown, byte[] received) {
    Connection tracked = connections.get(connection);
    if (tracked != null) {
      tracked.sendFinalResponse(malformedRequestResponder.render(thrown, received));
    }
  }

  @Override
  public <T extends AsyncHttpServer.Inspector> T lookup(Class<T> type) {
    return type.isInstance(this) ? type.cast(this) : null;
  }

  /** State of one connection and of the request that is being served on it. */
  private static final class Connection {
    private final SocketChannel channel;

    /** Listener of the request that is being served; null if there is none. */
    private Runnable onDisconnected;

    /** Start of the header timeout, by the monotonic clock; 0 if it has not started yet. */
    private long headersAwaitedSinceNanos;

    private boolean hasServed;
    private boolean inputClosed;
    private boolean isClosing;

    Connection(SocketChannel channel) {
      this.channel = channel;
    }

    /**
     * Detects that the caller has closed its side. Reads the byte that the server would read next;
     * if there is one, it belongs to a further request, and the input of the connection is closed.
     */
    void probe() {
      if (inputClosed) {
        return;
      }
      try {
        int count = channel.read(ByteBuffer.allocate(1));
        if (count < 0) {
          disconnected();
        } else if (count > 0) {
          shutdownInput();
        }
      } catch (IOException broken) {
        disconnected();
      }
    }

    void disconnected() {
      inputClosed = true;
      Runnable listener = onDisconnected;
      onDisconnected = null;
      listener.run();
    }

    void close() {
      try {
        channel.close();
      } catch (IOException closed) {
        // The connection is closed already.
        return;
      }
    }

    /** Sends a short response without waiting and closes the output. */
    void sendFinalResponse(ByteBuffer response) {
      try {
        channel.write(response);
        channel.shutdownOutput();
      } catch (IOException closed) {
        // The caller has disconnected, so there is nobody to send the response to.
        return;
      }
    }

    void shutdownInput() {
      inputClosed = true;
      try {
        channel.shutdownInput();
      } catch (IOException closed) {
        // The connection is closed already.
        return;
      }
    }
  }
}
