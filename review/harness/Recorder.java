import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Writes what was sent, answered and run to a file. */
final class Recorder {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();
  private final Map<String, List<String>> runs = new ConcurrentHashMap<>();

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized void record(String line) {
    out.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
  }

  void ran(String request, String replica) {
    runs.computeIfAbsent(String.valueOf(request), key -> new ArrayList<>()).add(replica);
    record("run      " + request + " by " + replica);
  }

  /** Returns the replicas that ran a request. */
  String by(String request) {
    return String.join("+", runs.getOrDefault(request, List.of()));
  }

  int runs(String request) {
    return runs.getOrDefault(request, List.of()).size();
  }
}
