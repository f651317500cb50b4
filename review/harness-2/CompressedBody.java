import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.zip.GZIPOutputStream;

/** Bookings whose bodies are compressed, which the Content-Encoding field tells the replica. */
final class CompressedBody extends Case {
  private static final int BOOKINGS = 20;

  private CompressedBody(Path recordFile) throws IOException {
    super(recordFile);
  }

  public static void main(String[] arguments) throws IOException {
    Case.main(new CompressedBody(Path.of(arguments[0])));
  }

  @Override
  void play() throws Exception {
    store.put("op", "config", configuration(1, route("/book/", "unsafe", true, ""), tenant("t", "\"k\"")));
    startReplica("replica-1", "zone-a");
    startReplica("replica-2", "zone-b");
    startMachines(3);
    for (int number = 0; number < BOOKINGS; number++) {
      book(machines.get(number % machines.size()), number);
    }
  }

  @Override
  String describe(Message request) {
    return request.body.length
        + " bytes, Content-Encoding: "
        + request.first("Content-Encoding")
        + ", begins with "
        + new String(Arrays.copyOf(request.body, 2), StandardCharsets.ISO_8859_1)
            .replaceAll("[^ -~]", "?");
  }

  private void book(Machine machine, int number) throws IOException {
    String id = "booking-" + number;
    byte[] content = compress("{\"deliver\":\"water\",\"number\":" + number + "}");
    // Without the disruption, the same bytes are sent without a statement of their coding.
    String coding = hasTrouble ? "Content-Encoding: gzip\r\n" : "";
    try (Client client = new Client(machine)) {
      client.send(
          "POST /book/water HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id
              + "\r\nDeadline-Ms: 3000\r\nContent-Type: application/json\r\n" + coding
              + "Content-Length: " + content.length + "\r\n\r\n",
          content);
      Message response = client.receive();
      note(
          "sent to " + machine.name + ": " + id + ", " + content.length + " bytes, answered "
              + (response == null ? "nothing" : response.startLine));
      Run run = run(id);
      if (run == null) {
        throw new IOException(id + " was not run");
      }
      if (!Arrays.equals(run.request().body, content)) {
        broken(
            "UNASKED: " + id + " was run with another body: " + content.length + " bytes sent, "
                + run.request().body.length + " bytes received by " + run.replica()
                + ", still with Content-Encoding: " + run.request().first("Content-Encoding"));
      }
    }
  }

  private static byte[] compress(String text) throws IOException {
    ByteArrayOutputStream compressed = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(compressed)) {
      gzip.write(text.getBytes(StandardCharsets.US_ASCII));
    }
    return compressed.toByteArray();
  }
}
