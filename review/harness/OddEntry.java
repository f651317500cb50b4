import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer leaves one odd entry among those of the replicas; its address is not one of IP
 * version 4. Requests must be answered by the timeout of their route as before.
 */
final class OddEntry extends Case {
  private static final int CALLERS = 60;
  private static final long BEFORE_MILLIS = 4000;
  private static final long JUDGED_MILLIS = 60_000;
  private static final long TIMEOUT_MILLIS = 3000;
  private static final long SLACK_MILLIS = 500;
  private static final long PATIENCE_MILLIS = TIMEOUT_MILLIS + SLACK_MILLIS + 100;
  private static final String ENTRY =
      "{\"service\":\"ordersvc\",\"address\":\"fd00::7:8080\",\"zone\":\"wien-a\",\"version\":\"v1\","
          + "\"slots\":2,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1}";

  private final AtomicInteger nextId = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private final AtomicInteger unansweredAfterwards = new AtomicInteger();
  private volatile boolean isOver;

  public static void main(String[] arguments) {
    new OddEntry().run(arguments[0]);
  }

  @Override
  int play(Deployment deployment) throws Exception {
    for (int index = 0; index < 4; index++) {
      deployment.replica("i-order" + index, "ordersvc", "wien-a", 6, Replica.sound(86));
    }
    Front front = deployment.front("front-wien-a-1", "wien-a");
    deployment.startAll();
    for (int index = 0; index < CALLERS; index++) {
      Replica.daemon(() -> call(front));
    }
    Thread.sleep(BEFORE_MILLIS);
    if (hasTrouble) {
      recorder.record("entry    servers/i-odd: " + ENTRY);
      deployment.store.put("servers", "i-odd", ENTRY);
    }
    Thread.sleep(JUDGED_MILLIS);
    isOver = true;
    Thread.sleep(PATIENCE_MILLIS + 200);
    report(
        "requests served: " + served + ", refused: " + refused + ", closed without an answer: " + closed);
    report(
        "requests without an answer at the timeout of their route: "
            + unansweredAtTimeout
            + "; half a second later: "
            + unansweredAfterwards);
    return unansweredAfterwards.get() >= 8
            && 2 * unansweredAfterwards.get() > unansweredAtTimeout.get()
        ? BROKEN
        : HELD;
  }

  private void call(Front front) {
    Client client = null;
    while (!isOver) {
      String id = "b" + nextId.incrementAndGet();
      try {
        if (client == null) {
          client = new Client(front.port);
        }
        recorder.record("send     " + id);
        client.send(
            Deployment.head(
                "POST",
                "/booking/x",
                id,
                "Deadline-Ms: " + TIMEOUT_MILLIS + "\r\nContent-Length: 0\r\n"),
            new byte[0]);
        long sentNanos = System.nanoTime();
        Client.Result result = client.read(PATIENCE_MILLIS);
        long waitedMillis = (System.nanoTime() - sentNanos) / 1_000_000L;
        recorder.record("answer   " + id + " after " + waitedMillis + " ms: " + result);
        if (waitedMillis >= TIMEOUT_MILLIS) {
          unansweredAtTimeout.incrementAndGet();
        }
        if (waitedMillis >= TIMEOUT_MILLIS + SLACK_MILLIS) {
          unansweredAfterwards.incrementAndGet();
          recorder.record("HUNG     " + id);
        }
        if (result.status() == 200) {
          served.incrementAndGet();
        } else if (result.isAnswered()) {
          refused.incrementAndGet();
        } else {
          if (waitedMillis < TIMEOUT_MILLIS) {
            closed.incrementAndGet();
          }
          client.close();
          client = null;
        }
        Thread.sleep(20);
      } catch (IOException broken) {
        recorder.record("broken   " + id + ": " + broken);
        client = null;
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }
}
