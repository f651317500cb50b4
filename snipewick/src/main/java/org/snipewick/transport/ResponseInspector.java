package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.AsyncTcpSocketNio;
import java.io.IOException;
import java.util.Optional;
import org.snipewick.transport.response.MalformedResponseException;
import org.snipewick.transport.response.ResponseReader;

/**
 * Checks what arrives on one connection before the HTTP client reads it. The client receives
 * nothing that follows the end of a response, and nothing from a malformed response on, whose
 * connection is closed.
 */
final class ResponseInspector implements AsyncTcpSocketNio.Inspector {
  private final ResponseReader reader;
  private Optional<MalformedResponseException> violation = Optional.empty();

  ResponseInspector(ResponseReader reader) {
    this.reader = requireNonNull(reader, "reader");
  }

  /** Returns why the connection was closed; empty if all that has arrived is sound. */
  Optional<MalformedResponseException> violation() {
    return violation;
  }

  @Override
  public void onRead(AsyncTcpSocketNio socket, ByteBuf received) {
    if (violation.isEmpty()) {
      try {
        received.tail(reader.read(received.array(), received.head(), received.tail()));
        return;
      } catch (MalformedResponseException malformed) {
        violation = Optional.of(malformed);
        // The socket is in use by its caller until the next pass.
        Eventloop.getCurrentEventloop().post(() -> socket.closeEx(malformed));
      }
    }
    received.tail(received.head());
  }

  @Override
  public void onWrite(AsyncTcpSocketNio socket, ByteBuf sent, int bytes) {
    reader.requestSent();
  }

  @Override
  public void onConnect(AsyncTcpSocketNio socket) {}

  @Override
  public void onReadTimeout(AsyncTcpSocketNio socket) {}

  @Override
  public void onReadEndOfStream(AsyncTcpSocketNio socket) {}

  @Override
  public void onReadError(AsyncTcpSocketNio socket, IOException thrown) {}

  @Override
  public void onWriteTimeout(AsyncTcpSocketNio socket) {}

  @Override
  public void onWriteError(AsyncTcpSocketNio socket, IOException thrown) {}

  @Override
  public void onDisconnect(AsyncTcpSocketNio socket) {}

  @Override
  public <T extends AsyncTcpSocketNio.Inspector> T lookup(Class<T> type) {
    return type.isInstance(this) ? type.cast(this) : null;
  }
}
