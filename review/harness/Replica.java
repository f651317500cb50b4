import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a replica of a service, listed in the store. */
class Replica {
  /** Behaviour of a replica for one request whose body has been read. */
  interface Behaviour {
    void answer(Replica replica, Http.Message request, Socket socket, OutputStream out)
        throws Exception;
  }

  private static final AtomicInteger STAMPS = new AtomicInteger();

  final String id;
  final String service;
  final ServerSocket listener;
  private final Recorder recorder;
  private final Store store;
  private final String zone;
  private final int slots;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile Behaviour behaviour;
  private volatile boolean isClosed;
  volatile long born = System.currentTimeMillis();

  Replica(
      Store store,
      Recorder recorder,
      String id,
      String service,
      String zone,
      int slots,
      Behaviour behaviour)
      throws IOException {
    this.store = store;
    this.recorder = recorder;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.behaviour = behaviour;
    listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    daemon(this::accept);
    list("ready");
  }

  void behave(Behaviour changed) {
    behaviour = changed;
  }

  void list(String state) {
    store.put(
        "servers",
        id,
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":1,\"born\":%d}"
            .formatted(service, listener.getLocalPort(), zone, slots, state, born));
  }

  /** Resets all connections, as the end of the process does. */
  void resetConnections() {
    for (Socket socket : connections) {
      reset(socket);
    }
  }

  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException closed) {
      // The connection is closed already.
    }
  }

  int openConnections() {
    return connections.size();
  }

  private void accept() {
    while (!isClosed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        daemon(() -> serve(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = Http.buffered(socket.getInputStream());
      while (true) {
        Http.Message request = Http.readHead(in);
        if (request == null) {
          return;
        }
        Http.readBody(in, request, false);
        OutputStream out = socket.getOutputStream();
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
          out.write(ascii("HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
          continue;
        }
        behaviour.answer(this, request, socket, out);
        if ("close".equalsIgnoreCase(request.header("Connection"))) {
          return;
        }
      }
    } catch (Exception ended) {
      recorder.record("replica " + id + ": connection ended: " + ended);
    } finally {
      connections.remove(socket);
    }
  }

  void ran(Http.Message request) {
    recorder.ran(request.header("Request-Id"), id);
  }

  static String stamp() {
    return "3e1b.07.5a2.600.0." + Integer.toHexString(STAMPS.incrementAndGet());
  }

  static String head(Http.Message request, String status, String more) {
    return "HTTP/1.1 "
        + status
        + "\r\nRequest-Id: "
        + request.header("Request-Id")
        + "\r\nServer-Stamp: "
        + stamp()
        + "\r\n"
        + more
        + "\r\n";
  }

  /** Runs a request for a time and answers it with 800 bytes. */
  static Behaviour sound(long workMillis) {
    return (replica, request, socket, out) -> {
      replica.ran(request);
      Thread.sleep(workMillis);
      out.write(ascii(head(request, "200 OK", "Content-Length: 800\r\n") + "x".repeat(800)));
      out.flush();
    };
  }

  /** Answers with a stream of events at an even rate. */
  static Behaviour stream(int events, long gapMillis) {
    return (replica, request, socket, out) -> {
      replica.ran(request);
      int first =
          request.header("Last-Event-Id") == null
              ? 0
              : Integer.parseInt(request.header("Last-Event-Id").trim());
      for (int event = first + 1; event <= events; event++) {
        Thread.sleep(gapMillis);
        if (event == first + 1) {
          out.write(
              ascii(
                  head(
                      request,
                      "200 OK",
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
        }
        String text = "id: " + event + "\ndata: event " + event + "\n\n";
        out.write(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        out.flush();
      }
      out.write(ascii("0\r\n\r\n"));
      out.flush();
    };
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  void close() throws IOException {
    isClosed = true;
    listener.close();
    resetConnections();
  }
}
