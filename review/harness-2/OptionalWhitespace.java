import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;

/** Bookings in chunks whose Transfer-Encoding field has optional whitespace behind its value. */
final class OptionalWhitespace extends Case {
  private static final int BOOKINGS = 20;

  private OptionalWhitespace(Path recordFile) throws IOException {
    super(recordFile);
  }

  public static void main(String[] arguments) throws IOException {
    Case.main(new OptionalWhitespace(Path.of(arguments[0])));
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

  private void book(Machine machine, int number) throws IOException {
    String id = "booking-" + number;
    byte[] content = ("{\"deliver\":\"water\",\"number\":" + number + "}").getBytes();
    String blanks = !hasTrouble ? "" : number % 2 == 0 ? " " : "\t";
    try (Client client = new Client(machine)) {
      client.send(head(id, "Transfer-Encoding: chunked" + blanks), chunks(content));
      Message response = client.receive();
      note(
          "sent to " + machine.name + ": " + id + ", " + content.length
              + " bytes in chunks, answered " + (response == null ? "nothing" : response.startLine));
      Run run = run(id);
      if (run != null && !Arrays.equals(run.request().body, content)) {
        broken("UNASKED: " + id + " was run with another body of "
            + run.request().body.length + " bytes at " + run.replica());
      }
      if (run == null && (response == null || response.status() == 200)) {
        throw new IOException(id + " was not run");
      }
      if (response != null && !"close".equalsIgnoreCase(response.first("Connection"))) {
        sendSecond(client, machine, number);
      }
    }
  }

  /** Sends an ordinary request on the same connection; records whose answer arrives. */
  private void sendSecond(Client client, Machine machine, int number) {
    String id = "second-" + number;
    try {
      byte[] content = "x".getBytes(StandardCharsets.US_ASCII);
      client.send(head(id, "Content-Length: " + content.length), content);
      Message response = client.receive();
      note(
          "sent to " + machine.name + " on the same connection: " + id + ", answered "
              + (response == null
                  ? "nothing"
                  : response.startLine + " for request " + response.first("Request-Id"))
              + ", run: " + (run(id) != null));
    } catch (IOException broken) {
      note("second request on the same connection failed: " + broken);
    }
  }

  private static String head(String id, String framing) {
    return "POST /book/water HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: 3000\r\n" + framing + "\r\n\r\n";
  }

  private static byte[] chunks(byte[] content) {
    ByteArrayOutputStream encoded = new ByteArrayOutputStream();
    encoded.writeBytes((Integer.toHexString(content.length) + "\r\n").getBytes());
    encoded.writeBytes(content);
    encoded.writeBytes("\r\n0\r\n\r\n".getBytes());
    return encoded.toByteArray();
  }
}
