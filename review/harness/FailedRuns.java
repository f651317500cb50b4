import java.io.IOException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replicas fail a part of their requests for four seconds: they run them and then answer 503
 * without Not-Executed.
 */
final class FailedRuns extends Case {
  private static final int CALLERS_PER_FRONT = 8;
  private static final long SOUND_MILLIS = 4000;
  private static final long FAULT_MILLIS = 4000;
  private static final double FAILED_SHARE = 0.45;
  private static final long DEADLINE_MILLIS = 3000;

  private final AtomicInteger nextId = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger failedRuns = new AtomicInteger();
  private final AtomicInteger refusedAfterRun = new AtomicInteger();
  private volatile boolean isOver;
  private volatile boolean isFailing;

  public static void main(String[] arguments) {
    new FailedRuns().run(arguments[0]);
  }

  @Override
  int play(Deployment deployment) throws Exception {
    for (int index = 0; index < 4; index++) {
      deployment.replica(
          "i-order" + index,
          "ordersvc",
          index % 2 == 0 ? "wien-a" : "wien-b",
          6,
          (replica, request, socket, out) -> {
            if (isFailing && ThreadLocalRandom.current().nextDouble() < FAILED_SHARE) {
              replica.ran(request);
              Thread.sleep(86);
              failedRuns.incrementAndGet();
              recorder.record("failed   " + request.header("Request-Id") + " by " + replica.id);
              out.write(
                  Replica.ascii(
                      Replica.head(request, "503 Service Unavailable", "Content-Length: 0\r\n")));
              out.flush();
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
      Replica.daemon(() -> call(rotation));
    }
    Thread.sleep(SOUND_MILLIS);
    isFailing = hasTrouble;
    Thread.sleep(FAULT_MILLIS);
    isFailing = false;
    Thread.sleep(SOUND_MILLIS);
    isOver = true;
    Thread.sleep(DEADLINE_MILLIS + 1000);
    report("requests sent: " + sent + ", failed by replicas after they ran: " + failedRuns);
    report("answered 408, 421, 429 or 503 although they had run: " + refusedAfterRun);
    return refusedAfterRun.get() > 0 ? BROKEN : HELD;
  }

  private void call(Rotation rotation) {
    Client client = null;
    while (!isOver) {
      String id = "b" + nextId.incrementAndGet();
      try {
        if (client == null) {
          client = new Client(rotation.choose().port);
        }
        sent.incrementAndGet();
        recorder.record("send     " + id);
        client.send(
            Deployment.head(
                "POST",
                "/booking/x",
                id,
                "Deadline-Ms: " + DEADLINE_MILLIS + "\r\nContent-Length: 0\r\n"),
            new byte[0]);
        Client.Result result = client.read(DEADLINE_MILLIS + 500);
        recorder.record("answer   " + id + ": " + result);
        boolean isPromise =
            switch (result.status()) {
              case 408, 421, 429, 503 -> true;
              default -> false;
            };
        if (isPromise && recorder.runs(id) > 0) {
          refusedAfterRun.incrementAndGet();
          recorder.record("REFUSED  " + id + ", although " + recorder.by(id) + " ran it");
        }
        if (!result.isAnswered()) {
          client.close();
          client = null;
        }
        Thread.sleep(100);
      } catch (IOException broken) {
        recorder.record("broken   " + id + ": " + broken);
        client = null;
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }
}
