import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, replicas and processes of the project. */
final class Deployment implements AutoCloseable {
  static final String HOST = "ficu95.example";
  static final String KEY = "i9n73hh2b9wu3fexd9dn";

  final Path directory = Files.createTempDirectory("snipewick-review");
  final Store store = new Store();
  final Recorder recorder;
  final List<Front> fronts = new ArrayList<>();
  final List<Replica> replicas = new ArrayList<>();
  private boolean isClosed;

  Deployment(Recorder recorder) throws IOException {
    this.recorder = recorder;
    store.put("op", "config", config());
  }

  static String config() {
    return """
        {"version":7,"routes":[
        {"name":"r-plan","host":"ficu95.example","prefix":"/plan/","kind":"stream","timeout_ms":12000,
         "target_latency_ms":600,"priority":0,"service":"wickpool","max_attempts":1,"public":false,
         "sticky":true,"resumable":false,"target_gap_ms":400},
        {"name":"r-brief","host":"ficu95.example","prefix":"/brief/","kind":"stream","timeout_ms":12000,
         "target_latency_ms":300,"priority":1,"service":"wickpool","max_attempts":2,"public":false,
         "sticky":true,"resumable":true,"target_gap_ms":400},
        {"name":"r-booking","host":"ficu95.example","prefix":"/booking/","kind":"unsafe","timeout_ms":3000,
         "target_latency_ms":386,"priority":1,"service":"ordersvc","max_attempts":1,"public":false},
        {"name":"r-look","host":"ficu95.example","prefix":"/look/","kind":"safe","timeout_ms":3000,
         "target_latency_ms":386,"priority":2,"service":"ordersvc","max_attempts":2,"public":false}],
        "services":[
        {"name":"wickpool","health_path":"/health","max_conns":300,"protocol":"h1","tls":false},
        {"name":"ordersvc","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
         "idle_timeout_ms":15000},
        "tenants":[{"name":"hule930","api_keys":["i9n73hh2b9wu3fexd9dn"],"priority":1}]}
        """;
  }

  Replica replica(String id, String service, String zone, int slots, Replica.Behaviour behaviour)
      throws IOException {
    Replica replica = new Replica(store, recorder, id, service, zone, slots, behaviour);
    replicas.add(replica);
    return replica;
  }

  Front front(String name, String zone) {
    Front front = new Front(directory, name, zone, store.port());
    fronts.add(front);
    return front;
  }

  void startAll() throws Exception {
    for (Front front : fronts) {
      front.start(true);
    }
    for (Front front : fronts) {
      front.awaitReady(30_000);
      recorder.record("process  " + front.name + " is ready");
    }
  }

  static byte[] head(String method, String path, String id, String more) {
    return (method
            + " "
            + path
            + " HTTP/1.1\r\nHost: "
            + HOST
            + "\r\nRequest-Id: "
            + id
            + "\r\nApi-Key: "
            + KEY
            + "\r\n"
            + more
            + "\r\n")
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Ends all processes and deletes their files; later calls have no effect. */
  @Override
  public synchronized void close() throws IOException {
    if (isClosed) {
      return;
    }
    isClosed = true;
    fronts.forEach(Front::kill);
    for (Replica replica : replicas) {
      replica.close();
    }
    store.stop();
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(directory);
  }
}
