package org.snipewick.bench.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Entry instances and stand-ins in processes of their own, with a catalogue in force. */
public final class Cluster implements AutoCloseable {
  /** Token of the operator. */
  public static final String OPERATOR_TOKEN = "operator-secret";

  /** Token of the team that may request the highest tier. */
  public static final String TEAM_TOKEN = "team-secret";

  /** Token of the team that may request the lowest tier only. */
  public static final String LOW_TEAM_TOKEN = "low-secret";

  private static final Duration START_TIMEOUT = Duration.ofSeconds(40);

  private final Path directory = ChildProcess.newDirectory();
  private final Links links;
  private final Processes processes = new Processes(directory);
  private final Map<String, EntrySettings.Ports> entries = new LinkedHashMap<>();
  private final Map<String, String> endpoints = new LinkedHashMap<>();
  private final InstanceRows listed = new InstanceRows();
  private String platform;
  private String platformSettings = "";

  private Cluster(Links links) {
    this.links = links;
  }

  /**
   * Starts the platform's stand-in.
   *
   * @param platformOptions options of the binary
   * @return cluster without instances
   */
  public static Cluster start(String... platformOptions) {
    return start(Links.direct(), platformOptions);
  }

  /**
   * Starts the platform's stand-in behind links that can be cut.
   *
   * @param links how instances reach each other, endpoints and the platform
   * @param platformOptions options of the binary
   * @return cluster without instances
   */
  public static Cluster start(Links links, String... platformOptions) {
    Cluster cluster = new Cluster(links);
    cluster.platform = cluster.standin("platform", List.of("platform"), platformOptions);
    return cluster;
  }

  /**
   * Starts an engine.
   *
   * @param id name
   * @param domain failure domain
   * @param options options of the binary
   * @return this cluster
   */
  public Cluster engine(String id, String domain, String... options) {
    return endpoint(id, domain, List.of("engine", "--id", id, "--model", "planner"), options);
  }

  /**
   * Starts a replica of the plain service.
   *
   * @param id name
   * @param domain failure domain
   * @param options options of the binary
   * @return this cluster
   */
  public Cluster service(String id, String domain, String... options) {
    return endpoint(id, domain, List.of("service", "--id", id, "--name", "orders"), options);
  }

  private Cluster endpoint(String id, String domain, List<String> arguments, String... options) {
    String kind = arguments.get(0);
    String address = standin(id, arguments, options);
    endpoints.put(id, address);
    int port = links.toEndpoint(domain, Http.port(address));
    list(id, kind, domain, port, kind.equals("engine") ? "planner" : "orders", "live");
    return this;
  }

  private String standin(String name, List<String> arguments, String... options) {
    List<String> command = new ArrayList<>(arguments);
    command.addAll(List.of("--port", "0"));
    command.addAll(List.of(options));
    return processes.standIn(name, command);
  }

  /**
   * Adds settings of the instances' access to the platform.
   *
   * @param settings such as "domainWriters: true"
   * @return this cluster
   */
  public Cluster platformSettings(String settings) {
    platformSettings = ", " + settings;
    return this;
  }

  /**
   * Starts entry instances.
   *
   * @param names names of the form "domain.number"
   * @return this cluster
   */
  public Cluster entries(String... names) {
    register(names);
    for (String name : names) {
      launch(name);
    }
    for (String name : names) {
      awaitServing(name);
    }
    return this;
  }

  /**
   * Gives entry instances addresses and lists them, without starting them.
   *
   * @param names names of the form "domain.number"
   * @return this cluster
   */
  public Cluster register(String... names) {
    for (String name : names) {
      entries.put(name, EntrySettings.Ports.free(links, domain(name)));
      list(name, "entry", domain(name), entries.get(name).announced(), "", "live");
    }
    publishList();
    return this;
  }

  /**
   * Writes the settings of an entry instance.
   *
   * @param name its name
   * @return settings file
   */
  public Path settingsFile(String name) {
    int platformPort = links.toPlatform(domain(name), Http.port(platform));
    return EntrySettings.write(directory, name, entries, platformPort + platformSettings);
  }

  /**
   * Puts the catalogue into force and waits until all instances have it.
   *
   * @param instance where the operator puts it
   * @return this cluster
   */
  public Cluster catalogue(String instance) {
    Http.requireSuccess(edit(instance, 0, TestCatalogue.edits()), "catalogue");
    entries.keySet().forEach(name -> awaitVersion(name, 1));
    return this;
  }

  /**
   * Sends edits on condition of a base version.
   *
   * @param instance where the operator sends them
   * @param base version that must be in force
   * @param edits body
   * @return answer
   */
  public HttpResponse<String> edit(String instance, long base, String edits) {
    return operate(
        instance, "/admin/catalogue/edits", edits, Map.of("If-Match", "\"" + base + "\""));
  }

  /**
   * Posts to an operators' address.
   *
   * @param instance where to post
   * @param path path
   * @param body body
   * @param headers headers besides the operator's token
   * @return answer
   */
  public HttpResponse<String> operate(
      String instance, String path, String body, Map<String, String> headers) {
    Map<String, String> all = new LinkedHashMap<>(headers);
    all.put("Authorization", "Bearer " + OPERATOR_TOKEN);
    return Http.await("POST", operatorsUrl(instance) + path, body, all);
  }

  /** Returns the metrics of an instance, in the Prometheus text format. */
  public String metrics(String instance) {
    String url = "http://127.0.0.1:" + entries.get(instance).metrics() + "/metrics";
    return Http.await("GET", url, "", Map.of()).body();
  }

  /**
   * Reads from an operators' address.
   *
   * @param instance where to read
   * @param path path and query
   * @return answer's body
   */
  public JsonNode admin(String instance, String path) {
    return Http.json(
        Http.await(
                "GET",
                operatorsUrl(instance) + path,
                "",
                Map.of("Authorization", "Bearer " + OPERATOR_TOKEN))
            .body());
  }

  /**
   * Waits until a version of the catalogue is in force.
   *
   * @param instance where
   * @param version version
   */
  public void awaitVersion(String instance, long version) {
    Await.until(
        Duration.ofSeconds(10),
        "catalogue " + version + " on " + instance,
        () -> admin(instance, "/admin/catalogue").path("version").asLong() >= version);
  }

  /**
   * Starts an entry instance, for the first time or again.
   *
   * @param name its name
   */
  public void launch(String name) {
    processes.entry(name, settingsFile(name));
  }

  /**
   * Waits until an instance serves callers and operators.
   *
   * @param name its name
   */
  public void awaitServing(String name) {
    Await.until(
        START_TIMEOUT,
        name + " serves",
        () -> {
          processes.requireAlive(name);
          return Http.isUp("http://127.0.0.1:" + entries.get(name).callers() + "/health")
              && Http.isUp(operatorsUrl(name) + "/admin/health");
        });
  }

  /**
   * Changes an instance or endpoint in the list that {@link #publishList} gives to the platform.
   *
   * @param id name
   * @param kind entry, engine or service
   * @param domain failure domain
   * @param port port
   * @param pool model or service
   * @param state live or leaving
   */
  public void list(String id, String kind, String domain, int port, String pool, String state) {
    listed.put(id, kind, domain, port, pool, state);
  }

  /** Gives the platform the list as it stands. */
  public void publishList() {
    control("PUT", platform, "instances", listed.toJson());
  }

  /**
   * Sets the faults of a stand-in.
   *
   * @param name "platform" or the name of an endpoint
   * @param json all faults
   */
  public void faults(String name, String json) {
    control("PUT", address(name), "faults", json);
  }

  /**
   * Calls the control address of a stand-in.
   *
   * @param method HTTP method
   * @param address host and port
   * @param what last part of the path
   * @param json body
   */
  public void control(String method, String address, String what, String json) {
    String url = "http://" + address + "/control/" + what;
    Http.requireSuccess(Http.await(method, url, json, Map.of()), "control");
  }

  /**
   * Reads what a stand-in has counted.
   *
   * @param name "platform" or the name of an endpoint
   * @return counts
   */
  public JsonNode truth(String name) {
    return Http.truth(address(name));
  }

  /**
   * Returns where a stand-in listens.
   *
   * @param name "platform" or the name of an endpoint
   * @return host and port
   */
  public String address(String name) {
    return name.equals("platform") ? platform : endpoints.get(name);
  }

  /** Returns all processes, with their logs. */
  public Processes processes() {
    return processes;
  }

  /** Returns the latest process of an instance or endpoint; null if none was started. */
  public ChildProcess process(String name) {
    return processes.find(name);
  }

  /**
   * Sends a model request.
   *
   * @param instance where to
   * @param question last message
   * @param tokens longest answer
   * @param stream whether the answer is streamed
   * @param headers further headers
   * @return answer
   */
  public CompletableFuture<HttpResponse<String>> model(
      String instance, String question, int tokens, boolean stream, Map<String, String> headers) {
    String body = Http.chatBody(question, tokens, stream);
    return call("POST", instance, "/v1/chat/completions", body, headers);
  }

  /**
   * Sends a booking whose name is its idempotency key.
   *
   * @param instance where to
   * @param booking name
   * @return answer
   */
  public CompletableFuture<HttpResponse<String>> book(String instance, String booking) {
    return call(
        "POST",
        instance,
        "/services/orders/bookings",
        "{\"booking\":\"" + booking + "\"}",
        Map.of("Idempotency-Key", booking));
  }

  /**
   * Sends a call, as the team of the highest tier unless the headers name another.
   *
   * @param method HTTP method
   * @param instance where to
   * @param path path
   * @param body body, empty for none
   * @param headers further headers
   * @return answer
   */
  public CompletableFuture<HttpResponse<String>> call(
      String method, String instance, String path, String body, Map<String, String> headers) {
    Map<String, String> all = new LinkedHashMap<>(headers);
    all.putIfAbsent("Authorization", "Bearer " + TEAM_TOKEN);
    all.putIfAbsent("Content-Type", "application/json");
    String url = "http://127.0.0.1:" + entries.get(instance).callers() + path;
    return Http.send(method, url, body, all);
  }

  private String operatorsUrl(String instance) {
    return "http://127.0.0.1:" + entries.get(instance).operators();
  }

  /**
   * Returns the failure domain of an instance.
   *
   * @param name name of the form "domain.number"
   * @return domain
   */
  public static String domain(String name) {
    return name.substring(0, name.lastIndexOf('.'));
  }

  @Override
  public void close() {
    processes.close();
    links.close();
  }
}
