package org.snipewick.transport;

import io.activej.http.HttpServerConnection;
import io.activej.http.PoolLabel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Duration;

/** State of one connection and of the request that is being served on it. */
final class CallerConnection {
  /**
   * Time after a response within which it is written and the head of a further request arrives. A
   * lost packet is sent again after a second at most on the links to callers.
   */
  private static final long STALL_NANOS = Duration.ofSeconds(2).toNanos();

  private final SocketChannel channel;

  /** Listener of the request that is being served; null if there is none. */
  Runnable onDisconnected;

  /** Listener of the response that is being written. */
  Runnable onWritten = () -> {};

  /** Start of the header timeout, by the monotonic clock; 0 if it has not started yet. */
  long headersAwaitedSinceNanos;

  boolean hasServed;
  private boolean inputClosed;
  boolean isClosing;
  boolean isReceivingBody;

  /** Position of the latest progress in the order of those of all connections. */
  long progress;

  CallerConnection(SocketChannel channel, long progress) {
    this.channel = channel;
    this.progress = progress;
  }

  /** What a connection is used for, those that are closed first to make room before the others. */
  enum Use {
    /** The first request is awaited or is arriving, or the body of a request. */
    INCOMPLETE_REQUEST,
    /** No request has begun since the latest response. */
    IDLE,
    /** The head of a further request does not end, or the latest response is not read. */
    STALLED,
    /** A request is being served, or its response is being written. */
    SERVING
  }

  /** Returns what the connection is used for at a monotonic time in nanoseconds. */
  Use use(HttpServerConnection key, long nowNanos) {
    PoolLabel pool = key.getCurrentPool();
    boolean isHeadAwaited =
        onDisconnected == null && (pool == PoolLabel.NEW || pool == PoolLabel.READ_WRITE);
    if (isReceivingBody || (isHeadAwaited && !hasServed)) {
      return Use.INCOMPLETE_REQUEST;
    }
    if (pool == PoolLabel.KEEP_ALIVE) {
      return Use.IDLE;
    }
    return isHeadAwaited && nowNanos - headersAwaitedSinceNanos > STALL_NANOS
        ? Use.STALLED
        : Use.SERVING;
  }

  /** Returns whether a request is being served or its response is not yet fully written. */
  boolean isInUse(HttpServerConnection key) {
    return switch (key.getCurrentPool()) {
      case SERVING -> true;
      case READ_WRITE -> onDisconnected != null || hasServed;
      default -> onDisconnected != null;
    };
  }

  /**
   * Detects that the caller has closed its side. Reads the byte that the server would read next; if
   * there is one, it belongs to a further request, and the input of the connection is closed.
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

  /** Records that the latest response was written or is given up; later calls have no effect. */
  void responseWritten() {
    Runnable listener = onWritten;
    onWritten = () -> {};
    listener.run();
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
