import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Replicas spoil a digit of the length in the heads of some of their answers. */
final class SpoiltLength extends Case {
  private static final int BOOKINGS = 1000;

  /** Half of the replicas spoil one in fifty of their answers, the defaults of garble. */
  private static final int ANSWERS_PER_SPOILT_ONE = 50;

  private static final int BODY_BYTES = 800;

  /** Time from the head of an answer to its body, which a replica makes meanwhile. */
  private static final long BODY_DELAY_MILLIS = 2;

  private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
  private final AtomicInteger spoilt = new AtomicInteger();

  private SpoiltLength(Path recordFile) throws IOException {
    super(recordFile);
  }

  public static void main(String[] arguments) throws IOException {
    Case.main(new SpoiltLength(Path.of(arguments[0])));
  }

  @Override
  void play() throws Exception {
    store.put("op", "config", configuration(1, route("/book/", "unsafe", true, ""), tenant("t", "\"k\"")));
    for (int number = 1; number <= 4; number++) {
      startReplica("replica-" + number, number % 2 == 1 ? "zone-a" : "zone-b");
    }
    startMachines(3);
    for (int number = 0; number < BOOKINGS; number++) {
      book(machines.get(number % machines.size()), "booking-" + number);
    }
    note(spoilt + " of " + BOOKINGS + " answers were spoilt");
    if (hasTrouble && spoilt.get() == 0) {
      throw new IOException("no answer was spoilt");
    }
  }

  @Override
  void sendAnswer(String replica, OutputStream output, String fields, byte[] ignored)
      throws IOException {
    int number = answers.computeIfAbsent(replica, id -> new AtomicInteger()).incrementAndGet();
    boolean isFaulty = replica.equals("replica-1") || replica.equals("replica-2");
    boolean isSpoilt = hasTrouble && isFaulty && number % ANSWERS_PER_SPOILT_ONE == 0;
    String length = isSpoilt ? "000" : String.valueOf(BODY_BYTES);
    if (isSpoilt) {
      spoilt.incrementAndGet();
      note("spoilt by " + replica + ": the first digit of its length; " + fields.replace("\r\n", " "));
    }
    String head = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + length + "\r\n\r\n";
    output.write(head.getBytes(StandardCharsets.US_ASCII));
    output.flush();
    pause();
    output.write(body());
    output.flush();
  }

  private static void pause() {
    try {
      Thread.sleep(BODY_DELAY_MILLIS);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  private static byte[] body() {
    return "w".repeat(BODY_BYTES).getBytes(StandardCharsets.US_ASCII);
  }

  private void book(Machine machine, String id) throws IOException {
    try (Client client = new Client(machine)) {
      client.send(
          "POST /book/water HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id
              + "\r\nDeadline-Ms: 3000\r\nContent-Length: 5\r\n\r\n",
          "water".getBytes());
      Message response = client.receive();
      note("sent to " + machine.name + ": " + id + ", answered "
          + (response == null
              ? "nothing"
              : response.startLine + " with " + response.body.length + " bytes"));
      if (response != null && response.status() == 200 && response.body.length != BODY_BYTES) {
        broken("MIXED: " + id + " got a success with " + response.body.length + " of " + BODY_BYTES
            + " bytes, Server-Stamp " + response.first("Server-Stamp"));
      }
    }
  }
}
