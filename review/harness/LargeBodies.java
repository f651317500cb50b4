import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers send bodies of the largest size that the configuration allows. Five of six fronts are
 * killed, and their callers move to the sixth one.
 */
final class LargeBodies extends Case {
  private static final int FRONTS = 6;
  private static final int LARGE_CALLERS_PER_FRONT = 5;
  private static final int SMALL_CALLERS_PER_FRONT = 6;
  private static final int BODY_BYTES = 4_194_304;
  private static final long TIMEOUT_MILLIS = 3000;
  private static final long SLACK_MILLIS = 500;
  private static final long PATIENCE_MILLIS = TIMEOUT_MILLIS + SLACK_MILLIS + 100;

  private final byte[] body = new byte[BODY_BYTES];
  private final AtomicInteger nextId = new AtomicInteger();
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private final AtomicInteger unansweredAfterwards = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger unserved = new AtomicInteger();
  private Rotation rotation;
  private Front survivor;
  private volatile boolean isOver;

  public static void main(String[] arguments) {
    new LargeBodies().run(arguments[0]);
  }

  @Override
  int play(Deployment deployment) throws Exception {
    String[] zones = {"wien-a", "wien-b", "linz", "graz"};
    for (int index = 0; index < 4; index++) {
      deployment.replica("i-order" + index, "ordersvc", zones[index % 4], 6, Replica.sound(86));
    }
    for (int index = 0; index < FRONTS; index++) {
      deployment.front("front-" + zones[index % 4] + "-" + (1 + index / 4), zones[index % 4]);
    }
    deployment.startAll();
    survivor = deployment.fronts.get(0);
    rotation = new Rotation(deployment.fronts, recorder);
    for (Front front : deployment.fronts) {
      for (int index = 0; index < LARGE_CALLERS_PER_FRONT; index++) {
        Replica.daemon(() -> call(front, true));
      }
      for (int index = 0; index < SMALL_CALLERS_PER_FRONT; index++) {
        Replica.daemon(() -> call(front, false));
      }
    }
    Thread.sleep(6000);
    if (hasTrouble) {
      for (Front front : deployment.fronts.subList(1, FRONTS)) {
        recorder.record("SIGKILL  " + front.name);
        front.kill();
      }
    }
    Thread.sleep(1000);
    if (hasTrouble) {
      for (Front front : deployment.fronts.subList(1, FRONTS)) {
        recorder.record("restart  " + front.name);
        front.start(false);
      }
    }
    Thread.sleep(12_500);
    boolean hasEnded = !survivor.isAlive();
    isOver = true;
    Thread.sleep(500);
    report("requests served " + served + ", not served " + unserved);
    report(survivor.name + (hasEnded ? " ended by itself" : " still runs"));
    report(
        "requests at "
            + survivor.name
            + " without an answer at the timeout of their route: "
            + unansweredAtTimeout
            + "; half a second later: "
            + unansweredAfterwards);
    return unansweredAfterwards.get() >= 8
            && 2 * unansweredAfterwards.get() > unansweredAtTimeout.get()
        ? BROKEN
        : HELD;
  }

  private void call(Front first, boolean isLarge) {
    Front front = first;
    Client client = null;
    while (!isOver) {
      String id = (isLarge ? "L" : "s") + nextId.incrementAndGet();
      try {
        if (client == null) {
          client = new Client(front.port);
        }
        recorder.record("send     " + id + " to " + front.name);
        client.send(
            Deployment.head(
                isLarge ? "POST" : "GET",
                isLarge ? "/booking/x" : "/look/x",
                id,
                "Deadline-Ms: "
                    + TIMEOUT_MILLIS
                    + (isLarge ? "\r\nContent-Length: " + BODY_BYTES : "")
                    + "\r\n"),
            isLarge ? body : new byte[0]);
        long sentNanos = System.nanoTime();
        Client.Result result = client.read(PATIENCE_MILLIS);
        long waitedMillis = (System.nanoTime() - sentNanos) / 1_000_000L;
        recorder.record("answer   " + id + " after " + waitedMillis + " ms: " + result);
        if (front == survivor && waitedMillis >= TIMEOUT_MILLIS) {
          unansweredAtTimeout.incrementAndGet();
          if (waitedMillis >= TIMEOUT_MILLIS + SLACK_MILLIS) {
            unansweredAfterwards.incrementAndGet();
            recorder.record("HUNG     " + id + " at " + front.name);
          }
        }
        if (result.status() == 200) {
          served.incrementAndGet();
        } else {
          unserved.incrementAndGet();
          client.close();
          client = null;
          front = rotation.choose();
        }
        Thread.sleep(50);
      } catch (IOException refused) {
        recorder.record("broken   " + id + ": " + refused);
        unserved.incrementAndGet();
        front = rotation.choose();
        client = null;
        pause();
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(200);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
