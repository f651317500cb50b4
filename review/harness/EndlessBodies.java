import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The final fault of a day, after which two of four replicas send bodies without end for four
 * seconds. All replicas are sound when the recovery is judged.
 */
final class EndlessBodies extends Case {
  private static final int CALLERS_PER_FRONT = 12;
  private static final long BEFORE_MILLIS = 5000;
  private static final long DOWN_MILLIS = 1000;
  private static final long GARBLE_AFTER_MILLIS = 2000;
  private static final long GARBLE_MILLIS = 4000;
  private static final long RECOVER_MILLIS = 12_000;
  private static final long JUDGED_MILLIS = 8000;
  private static final long DEADLINE_MILLIS = 3000;
  private static final int PIECE_BYTES = 16 * 1024;
  private static final long PIECE_GAP_MILLIS = 4;

  /** Requests that were sent in a phase of the day, and what became of them. */
  private static final class Phase {
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger ran = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();

    double servedShare() {
      return sent.get() == 0 ? 0 : (double) served.get() / sent.get();
    }

    @Override
    public String toString() {
      return sent + " sent, " + ran + " run by replicas, " + served + " served";
    }
  }

  private final Phase before = new Phase();
  private final Phase meanwhile = new Phase();
  private final Phase after = new Phase();
  private final AtomicInteger nextId = new AtomicInteger();
  private volatile Phase phase = before;
  private volatile boolean isOver;
  private volatile boolean isGarbling;

  public static void main(String[] arguments) {
    new EndlessBodies().run(arguments[0]);
  }

  @Override
  int play(Deployment deployment) throws Exception {
    for (int index = 0; index < 4; index++) {
      boolean mayGarble = index < 2;
      deployment.replica(
          "i-order" + index,
          "ordersvc",
          index % 2 == 0 ? "wien-a" : "wien-b",
          6,
          (replica, request, socket, out) -> {
            if (mayGarble && isGarbling) {
              sendWithoutEnd(replica, request, out);
            } else {
              Replica.sound(86).answer(replica, request, socket, out);
            }
          });
    }
    deployment.front("front-wien-a-1", "wien-a");
    deployment.front("front-wien-b-1", "wien-b");
    deployment.startAll();
    Rotation rotation = new Rotation(deployment.fronts, recorder);
    for (int index = 0; index < 2 * CALLERS_PER_FRONT; index++) {
      Front first = deployment.fronts.get(index % 2);
      boolean isBooking = index % 4 < 2;
      Replica.daemon(() -> call(first, rotation, isBooking));
    }
    Thread.sleep(BEFORE_MILLIS);
    phase = meanwhile;
    deployment.store.put("op", "config", Deployment.config().replace("\"version\":7", "\"version\":9"));
    recorder.record("config   version 9 is acknowledged");
    for (Front front : deployment.fronts) {
      recorder.record("SIGKILL  " + front.name);
      front.kill();
    }
    Thread.sleep(DOWN_MILLIS);
    for (Front front : deployment.fronts) {
      front.start(false);
    }
    long backNanos = System.nanoTime();
    recorder.record("machines are back");
    sleepUntil(backNanos, GARBLE_AFTER_MILLIS);
    if (hasTrouble) {
      recorder.record("garble   two replicas send bodies without end");
      isGarbling = true;
    }
    sleepUntil(backNanos, GARBLE_AFTER_MILLIS + GARBLE_MILLIS);
    isGarbling = false;
    recorder.record("garble   all replicas are sound");
    sleepUntil(backNanos, RECOVER_MILLIS);
    recorder.record("judged from here on");
    phase = after;
    sleepUntil(backNanos, RECOVER_MILLIS + JUDGED_MILLIS);
    isOver = true;
    Thread.sleep(DEADLINE_MILLIS + 1000);
    report("before the final fault: " + before);
    report("later than recover_s after it: " + after);
    return before.servedShare() >= 0.25 && after.servedShare() < 0.25 ? BROKEN : HELD;
  }

  private static void sleepUntil(long startNanos, long millis) throws InterruptedException {
    long left = millis - (System.nanoTime() - startNanos) / 1_000_000L;
    if (left > 0) {
      Thread.sleep(left);
    }
  }

  /** Sends bytes that are no answer until the caller closes the connection or the fault ends. */
  private void sendWithoutEnd(Replica replica, Http.Message request, java.io.OutputStream out)
      throws IOException, InterruptedException {
    replica.ran(request);
    byte[] piece = new byte[PIECE_BYTES];
    out.write(Replica.ascii(Replica.head(request, "200 OK", "")));
    while (isGarbling) {
      out.write(piece);
      out.flush();
      Thread.sleep(PIECE_GAP_MILLIS);
    }
    throw new IOException("the fault has ended");
  }

  private void call(Front first, Rotation rotation, boolean isBooking) {
    Front front = first;
    Client client = null;
    while (!isOver) {
      String id = (isBooking ? "b" : "l") + nextId.incrementAndGet();
      Phase sentIn = phase;
      try {
        if (client == null) {
          client = new Client(front.port);
        }
        recorder.record("send     " + id + " to " + front.name);
        sentIn.sent.incrementAndGet();
        client.send(
            Deployment.head(
                isBooking ? "POST" : "GET",
                isBooking ? "/booking/x" : "/look/x",
                id,
                "Deadline-Ms: " + DEADLINE_MILLIS + "\r\n" + (isBooking ? "Content-Length: 0\r\n" : "")),
            new byte[0]);
        Client.Result result = client.read(DEADLINE_MILLIS + 500);
        recorder.record("answer   " + id + ": " + result);
        if (recorder.runs(id) > 0) {
          sentIn.ran.incrementAndGet();
        }
        if (result.status() == 200) {
          sentIn.served.incrementAndGet();
        } else {
          client.close();
          client = null;
          front = rotation.choose();
        }
        Thread.sleep(100);
      } catch (IOException refused) {
        recorder.record("broken   " + id + ": " + refused);
        front = rotation.choose();
        client = null;
        try {
          Thread.sleep(200);
        } catch (InterruptedException interrupted) {
          return;
        }
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }
}
