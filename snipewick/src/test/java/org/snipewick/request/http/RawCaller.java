package org.snipewick.request.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Caller that sends raw bytes and can close its connection at any time. */
final class RawCaller implements AutoCloseable {
  private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;
  private static final int CLOSE_TIMEOUT_MILLIS = 500;

  private final Socket socket;

  private RawCaller(Socket socket) {
    this.socket = socket;
  }

  static RawCaller connect(CallerServerFixture fixture) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), fixture.server.port()));
    socket.setSoTimeout(10_000);
    return new RawCaller(socket);
  }

  /** Sends a complete POST request. */
  RawCaller post(String path, String body, String key) throws IOException {
    return send(
        "POST "
            + path
            + " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer "
            + CallerServerFixture.TOKEN
            + "\r\nIdempotency-Key: "
            + key
            + "\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  RawCaller send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
    return this;
  }

  /** Reads until a text was received or the server has closed the connection. */
  String readUntil(String expected) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    int next = in.read();
    while (next >= 0) {
      text.append((char) next);
      if (text.toString().endsWith(expected)) {
        return text.toString();
      }
      next = in.read();
    }
    return text.toString();
  }

  String readAll() throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  /** Returns whether the server closes the connection within {@link #CLOSE_TIMEOUT_MILLIS}. */
  boolean isAtEnd() {
    try {
      socket.setSoTimeout(CLOSE_TIMEOUT_MILLIS);
      return socket.getInputStream().read() < 0;
    } catch (IOException open) {
      return false;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
