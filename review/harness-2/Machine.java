import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/** A machine with the role of the deploy file, as a process of its own. */
final class Machine {
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 32_000;
  private static final List<Process> STARTED = new CopyOnWriteArrayList<>();

  final String name;
  final int callers = freePort();
  private final int ready = freePort();
  private final Path settings;
  private final Path log;
  private final List<String> command;
  private Process process;

  static {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
  }

  Machine(String name, String zone, int storePort, Path folder) throws IOException {
    this.name = name;
    settings = folder.resolve(name + ".yaml");
    log = folder.resolve(name + ".log");
    command = commandOfDeployFile();
    Files.writeString(settings, settingsText(zone, storePort));
  }

  /** Returns a free port below those that the system gives to outgoing connections. */
  private static int freePort() {
    for (int attempt = 0; attempt < 100; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (IOException inUse) {
        continue;
      }
    }
    throw new IllegalStateException("no free port");
  }

  private static List<String> commandOfDeployFile() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("deploy file has no command");
  }

  /** The settings of the users' page, with the bounds of the site klarfluss-snipewick. */
  private String settingsText(String zone, int storePort) {
    int peers = freePort();
    return """
        node: "%s"
        role: "front"
        machine_class: "front"
        serves:
          - "front"
        ip: "127.0.0.1"
        zone: "%s"
        region: "region-a"
        zones:
          zone-a: "region-a"
          zone-b: "region-a"
        listen:
          front: "127.0.0.1:%d"
          ready: "127.0.0.1:%d"
        port_range:
          - %d
          - %d
        seeds: []
        first_start: true
        fault_counted: false
        limits:
          cpu_share: 0.75
          cores: 1
          memory_mb: 430
          max_fds: 4200
          link_mbps: 1000.0
          disk_mb: 0
        data_dir: null
        discovery: "platform"
        entry: "vip"
        heartbeat_ms: 1200
        contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", \
        "tenants", "quota", "platform"]
        fault_tolerance:
          machines: 1
          zones: 1
          regions: 0
        bounds:
          seed_lag_s: 3
          reuse_after_s: 2
          contact_ms: 3000
          ack_timeout_ms: 4000
          catch_up_s: 4
          drain_ms: 2000
          grace_s: 8
          loss_slack_ms: 200
          config_ms: 2000
          rollback_slack_ms: 250
          max_stretch_ms: 5000
          strict_revoke: true
          revoke_ms: 5000
          retry_budget_ratio: 0.2
          budget_window_s: 10
          budget_slack: 56
          quota_window_s: 8
          quota_over: 0.1
          quota_slack: 140000
          recover_s: 12
          pass_ms: 120
          reuse_window_s: 10
        provider:
          address: "127.0.0.1:%d"
          form: "table"
          writes_per_s: 400
          reads_per_s: 2000
          tx_ms: 6.0
          part_writes_s: 200
          row_bytes: 65536
          across: false
          history_s: 20
          blob_bytes: 8388608
          blob_ms: 25.0
          blob_mb_s: 80.0
        """
        .formatted(name, zone, callers, ready, peers, peers, storePort);
  }

  void start() throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().put("SNIPEWICK_NODE_FILE", settings.toString());
    process = builder.start();
    STARTED.add(process);
  }

  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", ready), 500);
      socket.setSoTimeout(1000);
      socket
          .getOutputStream()
          .write("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
      Message response = Message.readHead(new BufferedInputStream(socket.getInputStream()));
      return response != null && response.status() == 200;
    } catch (IOException notReady) {
      return false;
    }
  }

  void awaitReady() throws IOException, InterruptedException {
    long startNanos = System.nanoTime();
    while (!isReady()) {
      if (System.nanoTime() - startNanos > 40_000_000_000L) {
        throw new IOException(name + " is not ready; log: " + Files.readString(log));
      }
      Thread.sleep(100);
    }
  }
}
