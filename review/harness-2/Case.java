import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A small deployment: store, replicas, and machines that run the deploy file's command. Ends with
 * exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 */
abstract class Case {
  static final String HOST = "orders.example";

  final Store store;
  final Path folder;
  final List<Machine> machines = new ArrayList<>();
  final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
  private final PrintWriter record;
  private final Map<String, Run> runs = new ConcurrentHashMap<>();
  private final long startNanos = System.nanoTime();
  private int violations;

  /** What a replica has received and run. */
  record Run(String replica, Message request, long atNanos) {}

  Case(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
    store = new Store();
    folder = Files.createTempDirectory("review-2-");
  }

  /** Runs the case and returns after its checks. */
  abstract void play() throws Exception;

  static void main(Case played) {
    int code;
    try {
      played.play();
      code = played.violations > 0 ? 1 : 0;
      played.note(code == 1 ? "rule broken " + played.violations + " times" : "rule held");
    } catch (Exception failure) {
      played.note("case could not run: " + failure);
      code = 2;
    }
    played.record.close();
    System.exit(code);
  }

  /** Writes a line to the record. */
  synchronized void note(String line) {
    record.printf("%7d ms  %s%n", (System.nanoTime() - startNanos) / 1_000_000, line);
    record.flush();
  }

  synchronized void broken(String line) {
    violations++;
    note("BROKEN " + line);
  }

  static String route(String prefix, String kind, boolean isPublic, String more) {
    return "{\"name\":\"route-"
        + kind
        + "\",\"host\":\""
        + HOST
        + "\",\"prefix\":\""
        + prefix
        + "\",\"kind\":\""
        + kind
        + "\",\"timeout_ms\":3000,\"target_latency_ms\":386,\"priority\":0,"
        + "\"service\":\"orders\",\"max_attempts\":1,\"public\":"
        + isPublic
        + more
        + "}";
  }

  static String configuration(int version, String routes, String tenants) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + routes
        + "],\"services\":[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":110,"
        + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":["
        + tenants
        + "]}";
  }

  /** Returns a tenant without a quota. */
  static String tenant(String name, String keys) {
    return "{\"name\":\""
        + name
        + "\",\"api_keys\":["
        + keys
        + "],\"priority\":0,\"unit\":\"token\",\"plain_tokens\":200}";
  }

  /** Starts a sound replica and registers it in the store. */
  void startReplica(String id, String zone) throws IOException {
    Server server = new Server((request, output) -> answer(id, request, output));
    store.put(
        "servers",
        id,
        "{\"service\":\"orders\",\"address\":\"127.0.0.1:"
            + server.port()
            + "\",\"zone\":\""
            + zone
            + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":"
            + System.currentTimeMillis()
            + ",\"seq\":1}");
  }

  private boolean answer(String id, Message request, OutputStream output) throws IOException {
    String requestId = request.first("Request-Id");
    if (!id.equals(request.first("Expect-Instance"))) {
      Server.respond(output, 421, "Instance-Id: " + id + "\r\n", new byte[0]);
      return true;
    }
    runs.put(requestId, new Run(id, request, System.nanoTime()));
    note("run at " + id + ": " + requestId + " " + request.startLine + ", " + describe(request));
    byte[] body = ("done " + requestId).getBytes(StandardCharsets.US_ASCII);
    String fields = "Request-Id: " + requestId + "\r\nServer-Stamp: " + id + ".1\r\n";
    sendAnswer(id, output, fields, body);
    return true;
  }

  /** Sends the answer of a replica that has run a request. */
  void sendAnswer(String replica, OutputStream output, String fields, byte[] body)
      throws IOException {
    Server.respond(output, 200, fields, body);
  }

  /** Describes what the case looks at in a request that was run. */
  String describe(Message request) {
    return request.body.length + " bytes";
  }

  Run run(String requestId) {
    return runs.get(requestId);
  }

  /** Starts machines in two zones and waits until they are ready. */
  void startMachines(int count) throws Exception {
    addMachines(count);
    for (Machine machine : machines) {
      machine.start();
    }
    for (Machine machine : machines) {
      machine.awaitReady();
    }
    note(count + " machines are ready");
  }

  void addMachines(int count) throws IOException {
    for (int number = 1; number <= count; number++) {
      String zone = number % 2 == 1 ? "zone-a" : "zone-b";
      machines.add(new Machine("front-" + zone + "-" + number, zone, store.port(), folder));
    }
  }

  /** Connection of a client to a machine. */
  static final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final BufferedInputStream input;

    Client(Machine machine) throws IOException {
      socket.connect(new InetSocketAddress("127.0.0.1", machine.callers), 1000);
      socket.setSoTimeout(5000);
      socket.setTcpNoDelay(true);
      input = new BufferedInputStream(socket.getInputStream());
    }

    void send(String head, byte[] body) throws IOException {
      byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
      byte[] all = new byte[headBytes.length + body.length];
      System.arraycopy(headBytes, 0, all, 0, headBytes.length);
      System.arraycopy(body, 0, all, headBytes.length, body.length);
      socket.getOutputStream().write(all);
      socket.getOutputStream().flush();
    }

    /** Reads a response; null if the connection ends without one. */
    Message receive() throws IOException {
      return Message.read(input);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
