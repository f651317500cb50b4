package org.snipewick.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Endpoint that reads one request per connection and lets a script write the response. */
public final class ScriptedEndpoint implements AutoCloseable {
  private final ServerSocket server;
  private final Script script;
  private final List<String> requests = new CopyOnWriteArrayList<>();
  private final List<String> endings = new CopyOnWriteArrayList<>();

  private ScriptedEndpoint(ServerSocket server, Script script) {
    this.server = server;
    this.script = script;
  }

  /** Responds to requests; may close their connections. */
  @FunctionalInterface
  public interface Script {
    /** Writes the response to a request. */
    void respond(String request, Socket connection) throws IOException;
  }

  /** Starts an endpoint on a free port of the loopback address. */
  public static ScriptedEndpoint start(Script script) {
    try {
      ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
      ScriptedEndpoint endpoint = new ScriptedEndpoint(server, script);
      startThread(endpoint::accept);
      return endpoint;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Returns a script that writes the same response to each request and closes the connection. */
  public static Script closing(String bytes) {
    return (request, connection) -> {
      write(connection, bytes);
      connection.close();
    };
  }

  /** Returns the port on which the endpoint listens. */
  public int port() {
    return server.getLocalPort();
  }

  /** Returns the requests that were read so far, with their bodies. */
  public List<String> requests() {
    return requests;
  }

  /**
   * Returns how the connections ended that the script left open: "closed" by the relay, "more
   * bytes" if the relay sent any after the request, or "broken" by an error.
   */
  List<String> endings() {
    return endings;
  }

  /** Writes text as ISO 8859-1. */
  public static void write(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(ISO_8859_1));
    connection.getOutputStream().flush();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket connection = server.accept();
        startThread(() -> serve(connection));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      String request = readRequest(connection.getInputStream());
      requests.add(request);
      script.respond(request, connection);
      if (!connection.isClosed()) {
        endings.add(connection.getInputStream().read() < 0 ? "closed" : "more bytes");
      }
    } catch (IOException broken) {
      endings.add("broken");
    }
  }

  private static String readRequest(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("request is incomplete");
      }
      head.append((char) next);
    }
    byte[] body = input.readNBytes(contentLength(head.toString()));
    return head + new String(body, ISO_8859_1);
  }

  private static int contentLength(String head) {
    return head.lines()
        .filter(line -> line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:"))
        .mapToInt(line -> Integer.parseInt(line.substring(line.indexOf(':') + 1).trim()))
        .findFirst()
        .orElse(0);
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "scripted-endpoint");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
