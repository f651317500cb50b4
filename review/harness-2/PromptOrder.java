import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Requests whose list of prompt parts stands in several field lines. */
final class PromptOrder extends Case {
  private static final List<String> PARTS = List.of("5c1e07a2:800", "91bd3f06:410", "e4402b7d:250");

  private PromptOrder(Path recordFile) throws IOException {
    super(recordFile);
  }

  public static void main(String[] arguments) throws IOException {
    Case.main(new PromptOrder(Path.of(arguments[0])));
  }

  @Override
  void play() throws Exception {
    String more = ",\"sticky\":true,\"resumable\":false,\"target_gap_ms\":400";
    store.put("op", "config", configuration(1, route("/stream/", "stream", true, more), tenant("t", "\"k\"")));
    startReplica("replica-1", "zone-a");
    startReplica("replica-2", "zone-b");
    startMachines(3);
    for (int number = 0; number < 20; number++) {
      ask(machines.get(number % machines.size()), "9c41d07be2a35f" + (10 + number));
    }
  }

  @Override
  String describe(Message request) {
    return "Prompt-Prefix: " + request.all("Prompt-Prefix");
  }

  private void ask(Machine machine, String id) throws IOException {
    String prefix =
        hasTrouble
            ? "Prompt-Prefix: " + String.join("\r\nPrompt-Prefix: ", PARTS)
            : "Prompt-Prefix: " + String.join(",", PARTS);
    try (Client client = new Client(machine)) {
      client.send(
          "POST /stream/plan HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id
              + "\r\nModel: m\r\nToken-Usage: 1460,80\r\n" + prefix
              + "\r\nDeadline-Ms: 3000\r\nContent-Length: 5\r\n\r\n",
          "hello".getBytes());
      Message response = client.receive();
      note("sent to " + machine.name + ": " + id + " with " + prefix.replace("\r\n", " | ")
          + ", answered " + (response == null ? "nothing" : response.startLine));
      Run run = run(id);
      if (run == null) {
        throw new IOException(id + " was not run");
      }
      // The lines of a list field are combined in their order (RFC 9110, 5.3).
      String received = String.join(",", run.request().all("Prompt-Prefix"));
      if (!received.equals(String.join(",", PARTS))) {
        broken("UNASKED: " + id + " was run with Prompt-Prefix " + received);
      }
    }
  }
}
