import java.io.IOException;
import java.nio.file.Path;

/** The key of the only tenant is taken away, by a configuration without tenants. */
final class LastTenant extends Case {
  private static final long REVOKE_MILLIS = 5000;

  private LastTenant(Path recordFile) throws IOException {
    super(recordFile);
  }

  public static void main(String[] arguments) throws IOException {
    Case.main(new LastTenant(Path.of(arguments[0])));
  }

  @Override
  void play() throws Exception {
    String routes = route("/book/", "unsafe", false, "");
    store.put("op", "config", configuration(1, routes, tenant("tenant-1", "\"key-1\"")));
    startReplica("replica-1", "zone-a");
    startReplica("replica-2", "zone-b");
    startMachines(3);
    for (Machine machine : machines) {
      Message response = book(machine, "before-" + machine.name, "key-1");
      if (response == null || response.status() != 200) {
        throw new IOException("a request with a valid key was not served");
      }
    }
    String tenants = hasTrouble ? "" : tenant("tenant-1", "\"key-2\"");
    store.put("op", "config", configuration(9, routes, tenants));
    long acknowledgedNanos = System.nanoTime();
    note("acknowledged: configuration 9, with tenants [" + tenants + "]");
    Thread.sleep(REVOKE_MILLIS + 1000);
    for (int number = 0; number < 15; number++) {
      Machine machine = machines.get(number % machines.size());
      String key = number % 5 == 4 ? "never-a-key" : "key-1";
      String id = "after-" + number;
      long sentMillis = (System.nanoTime() - acknowledgedNanos) / 1_000_000;
      book(machine, id, key);
      Run run = run(id);
      if (run != null) {
        broken(
            (key.equals("key-1") ? "CONFIG: " : "ROUTE: ") + id + " with " + key + ", sent "
                + sentMillis + " ms after the acknowledgement, was run at " + run.replica()
                + " with Tenant: " + run.request().first("Tenant"));
      }
    }
  }

  private Message book(Machine machine, String id, String key) throws IOException {
    try (Client client = new Client(machine)) {
      client.send(
          "POST /book/water HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\nApi-Key: "
              + key + "\r\nDeadline-Ms: 3000\r\nContent-Length: 5\r\n\r\n",
          "water".getBytes());
      Message response = client.receive();
      note(
          "sent to " + machine.name + ": " + id + " with " + key + ", answered "
              + (response == null ? "nothing" : response.startLine));
      return response;
    }
  }
}
