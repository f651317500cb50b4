import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Stand-in for the ingress: probes each front once a second, takes it out of rotation after two
 * misses, and brings it back with the first success.
 */
final class Rotation {
  private final List<Front> fronts;
  private final Recorder recorder;
  private final Map<Front, Integer> misses = new HashMap<>();
  private volatile List<Front> current;

  Rotation(List<Front> fronts, Recorder recorder) {
    this.fronts = List.copyOf(fronts);
    this.recorder = recorder;
    current = this.fronts;
    Replica.daemon(this::run);
  }

  private void run() {
    try {
      while (true) {
        probe();
        Thread.sleep(1000);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void probe() {
    List<Front> ready = new ArrayList<>();
    for (Front front : fronts) {
      int missed = front.isReady() ? 0 : misses.getOrDefault(front, 0) + 1;
      misses.put(front, missed);
      if (missed == 2) {
        recorder.record("ingress  takes " + front.name + " out of rotation");
      }
      if (missed < 2) {
        ready.add(front);
      }
    }
    current = ready.isEmpty() ? fronts : List.copyOf(ready);
  }

  /** Chooses the front for a new connection. */
  Front choose() {
    List<Front> ready = current;
    return ready.get(ThreadLocalRandom.current().nextInt(ready.size()));
  }
}
