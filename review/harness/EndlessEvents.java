import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** Model replicas send an event without end; the streams must end at the timeout of their route. */
final class EndlessEvents extends Case {
  private static final int REPLICAS = 13;
  private static final int SLOTS = 10;
  private static final long TIMEOUT_MILLIS = 12_000;
  private static final long SLACK_MILLIS = 500;
  private static final int PIECE_BYTES = 4000;
  private static final long PIECE_GAP_MILLIS = 4;

  private final AtomicInteger ended = new AtomicInteger();
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private final AtomicInteger unansweredAfterwards = new AtomicInteger();

  public static void main(String[] arguments) {
    new EndlessEvents().run(arguments[0]);
  }

  @Override
  int play(Deployment deployment) throws Exception {
    Replica.Behaviour behaviour =
        hasTrouble ? this::sendWithoutEnd : Replica.stream(42, 25);
    for (int index = 0; index < REPLICAS; index++) {
      deployment.replica("i-model" + index, "wickpool", "wien-a", SLOTS, behaviour);
    }
    Front front = deployment.front("front-wien-a-1", "wien-a");
    deployment.startAll();
    Thread[] callers = new Thread[REPLICAS * SLOTS];
    for (int index = 0; index < callers.length; index++) {
      int caller = index;
      callers[index] = Replica.daemon(() -> call(front, "d" + caller));
    }
    for (Thread caller : callers) {
      caller.join();
    }
    report("streams that ended by their timeout: " + ended);
    report(
        "streams without an end at the timeout of their route: "
            + unansweredAtTimeout
            + "; half a second later: "
            + unansweredAfterwards);
    return unansweredAfterwards.get() >= 8
            && 2 * unansweredAfterwards.get() > unansweredAtTimeout.get()
        ? BROKEN
        : HELD;
  }

  private void sendWithoutEnd(
      Replica replica, Http.Message request, java.net.Socket socket, java.io.OutputStream out)
      throws IOException, InterruptedException {
    replica.ran(request);
    byte[] piece = "x".repeat(PIECE_BYTES).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    out.write(Replica.ascii(Replica.head(request, "200 OK", "Content-Type: text/event-stream\r\n")));
    while (true) {
      out.write(piece);
      out.flush();
      Thread.sleep(PIECE_GAP_MILLIS);
    }
  }

  private void call(Front front, String id) {
    try (Client client = new Client(front.port)) {
      recorder.record("send     " + id);
      client.send(
          Deployment.head(
              "POST", "/brief/x", id, "Deadline-Ms: " + TIMEOUT_MILLIS + "\r\nContent-Length: 0\r\n"),
          new byte[0]);
      long sentNanos = System.nanoTime();
      Client.Result result = client.readUntil(sentNanos, TIMEOUT_MILLIS + SLACK_MILLIS + 100);
      long waitedMillis = (System.nanoTime() - sentNanos) / 1_000_000L;
      recorder.record("answer   " + id + " after " + waitedMillis + " ms: " + result);
      if (waitedMillis < TIMEOUT_MILLIS) {
        ended.incrementAndGet();
      } else {
        unansweredAtTimeout.incrementAndGet();
      }
      if (waitedMillis >= TIMEOUT_MILLIS + SLACK_MILLIS) {
        unansweredAfterwards.incrementAndGet();
        recorder.record("HUNG     " + id);
      }
    } catch (IOException refused) {
      recorder.record("broken   " + id + ": " + refused);
    }
  }
}
