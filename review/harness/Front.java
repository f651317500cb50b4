import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Process of the project, started with the command of the deploy file. */
final class Front {
  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 30_000;
  private static final Set<Integer> USED_PORTS = new HashSet<>();

  final String name;
  final int port = freePort();
  private final int readyPort = freePort();
  private final int peersPort = freePort();
  private final Path directory;
  private final int storePort;
  private final String zone;
  Process process;
  int starts;

  Front(Path directory, String name, String zone, int storePort) {
    this.directory = directory;
    this.name = name;
    this.zone = zone;
    this.storePort = storePort;
  }

  /** Returns a free port below those that the system gives to outgoing connections. */
  private static synchronized int freePort() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        if (USED_PORTS.add(socket.getLocalPort())) {
          return port;
        }
      } catch (IOException inUse) {
        // Another port is tried.
      }
    }
  }

  void start(boolean isFirstStart) throws IOException {
    starts++;
    Path settings = directory.resolve(name + ".yaml");
    String local = "\"127.0.0.1:%d\"";
    Files.writeString(
        settings,
        String.join(
            "\n",
            "node: \"" + name + "\"",
            "role: \"front\"",
            "machine_class: \"front\"",
            "serves: [\"front\"]",
            "ip: \"127.0.0.1\"",
            "zone: \"" + zone + "\"",
            "region: \"at-ost\"",
            "zones: {wien-a: \"at-ost\", wien-b: \"at-ost\"}",
            "listen:",
            "  front: " + local.formatted(port),
            "  ready: " + local.formatted(readyPort),
            "port_range: [" + peersPort + ", " + peersPort + "]",
            "first_start: " + isFirstStart,
            "fault_counted: false",
            "limits: {cpu_share: 0.75, cores: 1, memory_mb: 430, max_fds: 4200}",
            "data_dir: null",
            "discovery: \"platform\"",
            "entry: \"vip\"",
            "heartbeat_ms: 1200",
            "bounds:",
            "  seed_lag_s: 3",
            "  reuse_after_s: 2",
            "  contact_ms: 3000",
            "  drain_ms: 2000",
            "  grace_s: 8",
            "  loss_slack_ms: 200",
            "  config_ms: 2000",
            "  strict_revoke: true",
            "  revoke_ms: 5000",
            "  retry_budget_ratio: 0.2",
            "  budget_window_s: 10",
            "  budget_slack: 56",
            "  quota_window_s: 8",
            "  quota_over: 0.1",
            "  quota_slack: 140000",
            "  recover_s: 12",
            "provider:",
            "  address: " + local.formatted(storePort),
            "  form: \"table\"",
            "  writes_per_s: 400",
            "  reads_per_s: 2000",
            "  row_bytes: 65536",
            "  history_s: 20",
            ""));
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("SNIPEWICK_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
    process = builder.start();
  }

  /** Returns the command of the role "front" in the deploy file. */
  private static List<String> command() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"([^\"]*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml names no command");
    }
    return Arrays.asList(run.group(1).split(" "));
  }

  boolean isReady() {
    try {
      HttpURLConnection probe =
          (HttpURLConnection) new URL("http://127.0.0.1:" + readyPort + "/ready").openConnection();
      probe.setConnectTimeout(500);
      probe.setReadTimeout(500);
      return probe.getResponseCode() == 200;
    } catch (IOException unreachable) {
      return false;
    }
  }

  void awaitReady(long timeoutMillis) throws InterruptedException {
    long end = System.nanoTime() + timeoutMillis * 1_000_000L;
    while (!isReady()) {
      if (System.nanoTime() > end || !process.isAlive()) {
        throw new IllegalStateException(name + " is not ready");
      }
      Thread.sleep(50);
    }
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  void kill() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }

  String log() throws IOException {
    return Files.readString(directory.resolve(name + ".log"));
  }
}
