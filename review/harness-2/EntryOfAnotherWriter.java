import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** An entry of another writer, with fields missing or of another type, among those of replicas. */
final class EntryOfAnotherWriter extends Case {
  private static final int BOOKINGS = 60;

  /** Requests that the server which is no replica has run, by identifier. */
  private final Map<String, Message> runElsewhere = new ConcurrentHashMap<>();

  private EntryOfAnotherWriter(Path recordFile) throws IOException {
    super(recordFile);
  }

  public static void main(String[] arguments) throws IOException {
    Case.main(new EntryOfAnotherWriter(Path.of(arguments[0])));
  }

  @Override
  void play() throws Exception {
    store.put("op", "config", configuration(1, route("/book/", "unsafe", true, ""), tenant("t", "\"k\"")));
    startReplica("replica-1", "zone-a");
    startReplica("replica-2", "zone-b");
    Server other = new Server(this::runElsewhere);
    startMachines(3);
    if (hasTrouble) {
      String entry =
          "{\"service\":\"orders\",\"address\":\"127.0.0.1:"
              + other.port()
              + "\",\"zone\":\"zone-a\",\"version\":7,\"slots\":6,\"state\":\"ready\",\"seq\":\"x\"}";
      store.put("servers", "copy-1", entry);
      note("entry of another writer: servers/copy-1 " + entry);
    }
    Thread.sleep(4000);
    int lost = 0;
    for (int number = 0; number < BOOKINGS; number++) {
      lost += book(machines.get(number % machines.size()), "booking-" + number) ? 0 : 1;
    }
    note(lost + " of " + BOOKINGS + " bookings were run at no replica");
  }

  /** Answers as an HTTP server does that is no replica and knows none of their headers. */
  private boolean runElsewhere(Message request, OutputStream output) throws IOException {
    String id = String.valueOf(request.first("Request-Id"));
    runElsewhere.put(id, request);
    note("run at a server that is no replica: " + id + " " + request.startLine);
    Server.respond(output, 200, "Content-Type: text/plain\r\n", "booked".getBytes());
    return true;
  }

  /** Sends a booking; returns whether a replica has run it. */
  private boolean book(Machine machine, String id) throws IOException {
    try (Client client = new Client(machine)) {
      client.send(
          "POST /book/water HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id
              + "\r\nDeadline-Ms: 3000\r\nContent-Length: 5\r\n\r\n",
          "water".getBytes());
      Message response = client.receive();
      note("sent to " + machine.name + ": " + id + ", answered "
          + (response == null ? "nothing" : response.startLine));
      if (runElsewhere.containsKey(id)) {
        broken("ROUTE: " + id + " was run by a server that no configuration names");
      }
      return run(id) != null;
    }
  }
}
