package org.snipewick.bench.response;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Server that writes the same response to the one request of each connection. */
final class ResponseServer implements AutoCloseable {
  private static final String FIELDS =
      "HTTP/1.1 200 OK\r\nServer-Stamp: 1f2e3d4c5b6a7988\r\nRequest-Id: c-174-2239-1\r\n"
          + "Server-Load: 4,0,10,100\r\nContent-Type: application/json\r\n"
          + "Weight-Versions: 12\r\nCache-Control: no-store\r\n";
  private static final String BODY = "x".repeat(400);

  /** Response whose length is stated. */
  static final String WITH_LENGTH = FIELDS + "Content-Length: 400\r\n\r\n" + BODY;

  /** Response in four chunks. */
  static final String CHUNKED =
      FIELDS
          + "Transfer-Encoding: chunked\r\n\r\n"
          + ("64\r\n" + BODY.substring(0, 100) + "\r\n").repeat(4)
          + "0\r\n\r\n";

  private static final int THREADS = 4;
  private static final int BACKLOG = 512;
  private static final int MAX_REQUEST_BYTES = 4096;

  private final ServerSocket socket;
  private final byte[] response;

  private ResponseServer(ServerSocket socket, byte[] response) {
    this.socket = socket;
    this.response = response;
  }

  /** Starts a server on a free port of the loopback address. */
  static ResponseServer start(String response) throws IOException {
    ServerSocket socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    ResponseServer server = new ResponseServer(socket, response.getBytes(US_ASCII));
    for (int number = 0; number < THREADS; number++) {
      Thread thread = new Thread(server::serve, "server-" + number);
      thread.setDaemon(true);
      thread.start();
    }
    return server;
  }

  int port() {
    return socket.getLocalPort();
  }

  private void serve() {
    byte[] request = new byte[MAX_REQUEST_BYTES];
    while (!socket.isClosed()) {
      try (Socket connection = socket.accept()) {
        readHead(connection.getInputStream(), request);
        connection.getOutputStream().write(response);
      } catch (IOException closed) {
        // The client or this server has closed the connection.
      }
    }
  }

  private static void readHead(InputStream input, byte[] request) throws IOException {
    int length = 0;
    while (!endsWithEmptyLine(request, length)) {
      int read = input.read(request, length, request.length - length);
      if (read < 0) {
        return;
      }
      length += read;
    }
  }

  private static boolean endsWithEmptyLine(byte[] bytes, int length) {
    return length >= 4
        && bytes[length - 4] == '\r'
        && bytes[length - 3] == '\n'
        && bytes[length - 2] == '\r'
        && bytes[length - 1] == '\n';
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
