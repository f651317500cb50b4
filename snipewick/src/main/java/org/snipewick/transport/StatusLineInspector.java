package org.snipewick.transport;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.AsyncTcpSocketNio;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Checks the status line of the response on one connection. The HTTP client reads three digits of
 * the status and ignores further ones, so that {@code 2000} would be a success.
 */
final class StatusLineInspector implements AsyncTcpSocketNio.Inspector {
  /** Bytes of a status line up to the character behind its status. */
  private static final int CHECKED_BYTES = "HTTP/1.1 200 ".length();

  private static final Pattern VALID = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}[ \r\n]");

  private final StringBuilder start = new StringBuilder(CHECKED_BYTES);

  /** Returns whether a response has begun whose status line is not valid. */
  boolean isMalformed() {
    return start.length() == CHECKED_BYTES && !VALID.matcher(start).matches();
  }

  @Override
  public void onRead(AsyncTcpSocketNio socket, ByteBuf received) {
    int missing = Math.min(CHECKED_BYTES - start.length(), received.readRemaining());
    start.append(
        new String(received.array(), received.head(), missing, StandardCharsets.ISO_8859_1));
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
  public void onWrite(AsyncTcpSocketNio socket, ByteBuf sent, int bytes) {}

  @Override
  public void onWriteError(AsyncTcpSocketNio socket, IOException thrown) {}

  @Override
  public void onDisconnect(AsyncTcpSocketNio socket) {}

  @Override
  public <T extends AsyncTcpSocketNio.Inspector> T lookup(Class<T> type) {
    return type.isInstance(this) ? type.cast(this) : null;
  }
}
