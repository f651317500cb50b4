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
 * Connections of callers on one event loop. The HTTP server does not read while a request is
 * served, so this class looks whether the caller has closed its side meanwhile, and ends
 * connections on which the head of a request takes too long.
 */
public final class CallerConnections implements WorkerServer, AsyncHttpServer.Inspector {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Eventloop eventloop;
  private final LongSupplier headerTimeoutMillis;
  private final MalformedAnswer malformedAnswer;
  private final IdentityHashMap<HttpServerConnection, Connection> connections =
      new IdentityHashMap<>();
  private AsyncHttpServer server;
  private SocketChannel accepting;
  private volatile boolean empty = true;

  private CallerConnections(
      Eventloop eventloop, LongSupplier headerTimeoutMillis, MalformedAnswer malformedAnswer) {
    this.eventloop = requireNonNull(eventloop, "eventloop");
    this.headerTimeoutMillis = requireNonNull(headerTimeoutMillis, "headerTimeoutMillis");
    this.malformedAnswer = requireNonNull(malformedAnswer, "malformedAnswer");
  }

  /**
   * Creates the register of connections of one server.
   *
   * @param eventloop event loop that serves them
   * @param headerTimeoutMillis gives the longest time for the head of a request
   * @param malformedAnswer renders answers to what is not HTTP
   * @return register without connections
   */
  public static CallerConnections of(
      Eventloop eventloop, LongSupplier headerTimeoutMillis, MalformedAnswer malformedAnswer) {
    return new CallerConnections(eventloop, headerTimeoutMillis, malformedAnswer);
  }

  /** Renders the answer to a request that the HTTP server cannot parse. */
  @FunctionalInterface
  public interface MalformedAnswer {

    /**
     * Renders the answer, after which the connection is closed.
     *
     * @param thrown what the server found wrong
     * @param received what it has received of the request
     * @return complete HTTP response
     */
    ByteBuffer render(Exception thrown, byte[] received);
  }

  /**
   * Sets the server whose connections these are.
   *
   * @param server server that has this register as its inspector
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
    accepting = channel;
    try {
      server.doAccept(channel, local, remote, ssl, settings);
    } finally {
      accepting = null;
    }
  }

  /**
   * Notes that a request is being served.
   *
   * @param connection connection of the request
   * @param whenLeft what to do if the caller leaves
   */
  public void begin(HttpServerConnection connection, Runnable whenLeft) {
    Connection known = connections.get(connection);
    if (known != null) {
      known.whenLeft = whenLeft;
    }
  }

  /**
   * Notes that a response was handed to the server.
   *
   * @param connection connection of the request
   * @param nowNanos monotonic time
   */
  public void end(HttpServerConnection connection, long nowNanos) {
    Connection known = connections.get(connection);
    if (known != null) {
      known.whenLeft = null;
      known.hasServed = true;
      known.idleSinceNanos = nowNanos;
    }
  }

  /**
   * Lets a connection end after the response that is being written. What the server has read of it
   * already may look like a further request, which must not be served.
   *
   * @param connection connection
   */
  public void closeAfterResponse(HttpServerConnection connection) {
    Connection known = connections.get(connection);
    if (known != null) {
      known.isEnding = true;
      known.shutdownInput();
    }
  }

  /**
   * Tells whether a connection was to end after an earlier response.
   *
   * @param connection connection on which a request has been read
   * @return whether the request must not be served
   */
  public boolean isEnding(HttpServerConnection connection) {
    Connection known = connections.get(connection);
    return known != null && known.isEnding;
  }

  /**
   * Closes a connection.
   *
   * @param connection connection
   */
  public void close(HttpServerConnection connection) {
    Connection known = connections.get(connection);
    if (known != null) {
      known.close();
    }
  }

  /**
   * Tells whether there are no connections; on any thread.
   *
   * @return whether none is open
   */
  public boolean isEmpty() {
    return empty;
  }

  /**
   * Looks at all connections; to be called on the event loop from time to time.
   *
   * @param nowNanos monotonic time
   */
  public void probe(long nowNanos) {
    for (Map.Entry<HttpServerConnection, Connection> entry : List.copyOf(connections.entrySet())) {
      Connection connection = entry.getValue();
      if (connection.whenLeft != null) {
        connection.probe();
      } else {
        endIfSlow(entry.getKey(), connection, nowNanos);
      }
    }
  }

  /**
   * Tells whether a request is being served or its response is not yet written.
   *
   * @return whether closing now would cut an answer
   */
  public boolean isBusy() {
    return connections.entrySet().stream()
        .anyMatch(entry -> isInUse(entry.getKey(), entry.getValue()));
  }

  /** Closes all connections. */
  public void closeAll() {
    List.copyOf(connections.values()).forEach(Connection::close);
  }

  private static boolean isInUse(HttpServerConnection key, Connection connection) {
    return switch (key.getCurrentPool()) {
      case SERVING -> true;
      case READ_WRITE -> connection.whenLeft != null || connection.hasServed;
      default -> connection.whenLeft != null;
    };
  }

  /** Ends a connection whose head is late; between requests no head has begun yet. */
  private void endIfSlow(HttpServerConnection key, Connection connection, long nowNanos) {
    boolean waitsForHead =
        switch (key.getCurrentPool()) {
          case NEW, READ_WRITE -> true;
          default -> false;
        };
    if (!waitsForHead || connection.idleSinceNanos == 0) {
      connection.idleSinceNanos = nowNanos;
    } else if (nowNanos - connection.idleSinceNanos
        > headerTimeoutMillis.getAsLong() * NANOS_PER_MILLI) {
      connection.shutdownInput();
    }
  }

  @Override
  public void onAccept(HttpServerConnection connection) {
    if (accepting != null) {
      connections.put(connection, new Connection(accepting));
      empty = false;
    }
  }

  @Override
  public void onDisconnect(HttpServerConnection connection) {
    Connection known = connections.remove(connection);
    empty = connections.isEmpty();
    if (known != null && known.whenLeft != null) {
      known.left();
    }
  }

  @Override
  public void onHttpRequest(HttpRequest request) {}

  @Override
  public void onHttpResponse(HttpRequest request, HttpResponse response) {}

  @Override
  public void onServletException(HttpRequest request, Exception thrown) {}

  /** Answers if the body of a request broke the format while it was being received. */
  @Override
  public void onHttpError(HttpServerConnection connection, Exception thrown) {
    Connection known = connections.get(connection);
    boolean isReceiving = known != null && known.whenLeft == null;
    if (isReceiving && thrown instanceof MalformedHttpException) {
      known.sendLast(malformedAnswer.render(thrown, new byte[0]));
    }
  }

  /** Answers before the server does, whose own answer has no content. */
  @Override
  public void onMalformedHttpRequest(
      HttpServerConnection connection, MalformedHttpException thrown, byte[] received) {
    Connection known = connections.get(connection);
    if (known != null) {
      known.sendLast(malformedAnswer.render(thrown, received));
    }
  }

  @Override
  public <T extends AsyncHttpServer.Inspector> T lookup(Class<T> type) {
    return type.isInstance(this) ? type.cast(this) : null;
  }

  /** One connection and what is being served on it. */
  private static final class Connection {
    private final SocketChannel channel;
    private Runnable whenLeft;
    private long idleSinceNanos;
    private boolean hasServed;
    private boolean inputClosed;
    private boolean isEnding;

    Connection(SocketChannel channel) {
      this.channel = channel;
    }

    /** Reads what the server would read next; a byte of a further request ends the connection. */
    void probe() {
      if (inputClosed) {
        return;
      }
      try {
        int count = channel.read(ByteBuffer.allocate(1));
        if (count < 0) {
          left();
        } else if (count > 0) {
          shutdownInput();
        }
      } catch (IOException broken) {
        left();
      }
    }

    void left() {
      inputClosed = true;
      Runnable listener = whenLeft;
      whenLeft = null;
      listener.run();
    }

    void close() {
      try {
        channel.close();
      } catch (IOException closed) {
        // The connection is gone already, which is what was wanted.
        return;
      }
    }

    /** Sends a short answer at once; nothing can be sent afterwards. */
    void sendLast(ByteBuffer answer) {
      try {
        channel.write(answer);
        channel.shutdownOutput();
      } catch (IOException closed) {
        // The caller is gone, so nobody waits for the answer.
        return;
      }
    }

    void shutdownInput() {
      inputClosed = true;
      try {
        channel.shutdownInput();
      } catch (IOException closed) {
        // The connection is gone already, which is what was wanted.
        return;
      }
    }
  }
}
