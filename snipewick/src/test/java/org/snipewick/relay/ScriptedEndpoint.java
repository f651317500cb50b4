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

/** Endpoint that responds on each connection with the bytes that a script writes. */
final class ScriptedEndpoint implements AutoCloseable {
  private final ServerSocket server;
  private final Script script;
  private final List<String> requests = new CopyOnWriteArrayList<>();
  private final List<String> endings = new CopyOnWriteArrayList<>();

  private ScriptedEndpoint(ServerSocket server, Script script) {
    this.server = server;
    this.script = script;
  }

  /** Writes the response to a request. */
  @FunctionalInterface
  interface Script {
    void respond(String request, Socket caller) throws IOException;
  }

  static ScriptedEndpoint start(Script script) {
    try {
      ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
      ScriptedEndpoint endpoint = new ScriptedEndpoint(server, script);
      thread(endpoint::accept);
      return endpoint;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  int port() {
    return server.getLocalPort();
  }

  List<String> requests() {
    return requests;
  }

  /** Returns how connections ended that the script left open. */
  List<String> endings() {
    return endings;
  }

  static void write(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(ISO_8859_1));
    caller.getOutputStream().flush();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket caller = server.accept();
        thread(() -> serve(caller));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket caller) {
    try (caller) {
      caller.setTcpNoDelay(true);
      String request = read(caller.getInputStream());
      requests.add(request);
      script.respond(request, caller);
      if (!caller.isClosed()) {
        endings.add(caller.getInputStream().read() < 0 ? "closed" : "more bytes");
      }
    } catch (IOException broken) {
      endings.add("broken");
    }
  }

  private static String read(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("request is incomplete");
      }
      head.append((char) next);
    }
    byte[] body = input.readNBytes(length(head.toString()));
    return head + new String(body, ISO_8859_1);
  }

  private static int length(String head) {
    return head.lines()
        .filter(line -> line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:"))
        .mapToInt(line -> Integer.parseInt(line.substring(line.indexOf(':') + 1).trim()))
        .findFirst()
        .orElse(0);
  }

  private static void thread(Runnable task) {
    Thread thread = new Thread(task, "scripted-endpoint");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
