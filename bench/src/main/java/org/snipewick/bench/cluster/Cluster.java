package org.snipewick.bench.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** A cluster of entry instances and stand-ins, each in a process of its own. */
public final class Cluster implements AutoCloseable {
  /** Token of the operator. */
  public static final String OPERATOR_TOKEN = "operator-secret";

  /** Token of the team that may use all tiers. */
  public static final String TEAM_TOKEN = "team-secret";

  /** Token of the team that may use only the lowest tier. */
  public static final String LOW_TEAM_TOKEN = "low-secret";

  private static final Duration START_TIMEOUT = Duration.ofSeconds(40);

  private final Path directory = ChildProcess.newDirectory();
  private final Links links;
  private final Processes processes = new Processes(directory);
  private final Map<String, EntrySettings.Ports> portsByInstance = new LinkedHashMap<>();
  private final Map<String, String> endpointAddresses = new LinkedHashMap<>();
  private final InstanceRows instanceRows = new InstanceRows();
  private String platformAddress;
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
   * @param links links by which instances reach each other, endpoints and the platform
   * @param platformOptions options of the binary
   * @return cluster without instances
   */
  public static Cluster start(Links links, String... platformOptions) {
    Cluster cluster = new Cluster(links);
    cluster.platformAddress =
        cluster.startStandIn("platform", List.of("platform"), platformOptions);
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
  public Cluster startEngine(String id, String domain, String... options) {
    return startEndpoint(id, domain, List.of("engine", "--id", id, "--model", "planner"), options);
  }

  /**
   * Starts a replica of the plain service.
   *
   * @param id name
   * @param domain failure domain
   * @param options options of the binary
   * @return this cluster
   */
  public Cluster startService(String id, String domain, String... options) {
    return startEndpoint(id, domain, List.of("service", "--id", id, "--name", "orders"), options);
  }

  private Cluster startEndpoint(
      String id, String domain, List<String> arguments, String... options) {
    String kind = arguments.get(0);
    String address = startStandIn(id, arguments, options);
    endpointAddresses.put(id, address);
    int port = links.portToEndpoint(domain, Http.port(address));
    putListedInstance(id, kind, domain, port, kind.equals("engine") ? "planner" : "orders", "live");
    return this;
  }

  private String startStandIn(String name, List<String> arguments, String... options) {
    List<String> command = new ArrayList<>(arguments);
    command.addAll(List.of("--port", "0"));
    command.addAll(List.of(options));
    return processes.startStandIn(name, command);
  }

  /**
   * Adds settings of the instances' access to the platform, for instances started afterwards.
   *
   * @param settings YAML, such as "domainWriters: true"
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
  public Cluster startEntries(String... names) {
    registerEntries(names);
    for (String name : names) {
      startEntry(name);
    }
    for (String name : names) {
      awaitServing(name);
    }
    return this;
  }

  /**
   * Assigns addresses to entry instances and adds them to the list of instances, without starting
   * them.
   *
   * @param names names of the form "domain.number"
   * @return this cluster
   */
  public Cluster registerEntries(String... names) {
    for (String name : names) {
      portsByInstance.put(name, EntrySettings.Ports.allocate(links, domain(name)));
      putListedInstance(
          name, "entry", domain(name), portsByInstance.get(name).announced(), "", "live");
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
    int platformPort = links.portToPlatform(domain(name), Http.port(platformAddress));
    return EntrySettings.write(directory, name, portsByInstance, platformPort + platformSettings);
  }

  /**
   * Applies the edits of {@link TestCatalogue} and waits until all instances have this catalogue.
   *
   * @param instance instance that receives it
   * @return this cluster
   */
  public Cluster applyTestCatalogue(String instance) {
    Http.requireSuccess(editCatalogue(instance, 0, TestCatalogue.edits()), "catalogue");
    portsByInstance.keySet().forEach(name -> awaitCatalogueVersion(name, 1));
    return this;
  }

  /**
   * Sends edits of the catalogue as the operator, which are applied only to a base version.
   *
   * @param instance instance that receives them
   * @param base version that must be in force
   * @param edits body
   * @return response
   */
  public HttpResponse<String> editCatalogue(String instance, long base, String edits) {
    return postAsOperator(
        instance, "/admin/catalogue/edits", edits, Map.of("If-Match", "\"" + base + "\""));
  }

  /**
   * Sends a POST request as the operator.
   *
   * @param instance instance that receives it
   * @param path path
   * @param body body
   * @param headers headers besides the operator's token
   * @return response
   */
  public HttpResponse<String> postAsOperator(
      String instance, String path, String body, Map<String, String> headers) {
    Map<String, String> allHeaders = new LinkedHashMap<>(headers);
    allHeaders.put("Authorization", "Bearer " + OPERATOR_TOKEN);
    return Http.await("POST", operatorsUrl(instance) + path, body, allHeaders);
  }

  /** Returns the metrics of an instance, in the Prometheus text format. */
  public String metrics(String instance) {
    String url = "http://127.0.0.1:" + portsByInstance.get(instance).metrics() + "/metrics";
    return Http.await("GET", url, "", Map.of()).body();
  }

  /**
   * Sends a GET request as the operator.
   *
   * @param instance instance that receives it
   * @param path path and query
   * @return body of the response
   */
  public JsonNode getAsOperator(String instance, String path) {
    return Http.json(
        Http.await(
                "GET",
                operatorsUrl(instance) + path,
                "",
                Map.of("Authorization", "Bearer " + OPERATOR_TOKEN))
            .body());
  }

  /**
   * Waits until an instance reports a version of the catalogue or a later one.
   *
   * @param instance instance that is polled
   * @param version lowest version to wait for
   * @throws AssertionError if the instance does not report it within 10 s
   */
  public void awaitCatalogueVersion(String instance, long version) {
    Await.until(
        Duration.ofSeconds(10),
        "catalogue " + version + " on " + instance,
        () -> getAsOperator(instance, "/admin/catalogue").path("version").asLong() >= version);
  }

  /**
   * Starts an entry instance, for the first time or again.
   *
   * @param name its name
   */
  public void startEntry(String name) {
    processes.startEntry(name, settingsFile(name));
  }

  /**
   * Registers an entry instance, starts it with lowered limits and waits until it serves.
   *
   * @param name its name, of the form "domain.number"
   * @param heapMegabytes maximum heap
   * @param maxDescriptors maximum number of files and sockets that it may have open
   * @return this cluster
   */
  public Cluster startLimitedEntry(String name, int heapMegabytes, int maxDescriptors) {
    registerEntries(name);
    processes.startLimitedEntry(name, settingsFile(name), heapMegabytes, maxDescriptors);
    awaitServing(name);
    return this;
  }

  /**
   * Returns the address of an instance for callers.
   *
   * @param instance its name
   * @return address on this host
   */
  public InetSocketAddress callers(String instance) {
    return new InetSocketAddress(
        InetAddress.getLoopbackAddress(), portsByInstance.get(instance).callers());
  }

  /**
   * Returns the address of an instance for operators.
   *
   * @param instance its name
   * @return address on this host
   */
  public InetSocketAddress operators(String instance) {
    return new InetSocketAddress(
        InetAddress.getLoopbackAddress(), portsByInstance.get(instance).operators());
  }

  /**
   * Waits until an instance serves callers and operators.
   *
   * @param name its name
   * @throws AssertionError if the instance ends, or does not serve them within 40 s
   */
  public void awaitServing(String name) {
    Await.until(
        START_TIMEOUT,
        name + " serves",
        () -> {
          processes.requireAlive(name);
          return Http.isOk("http://127.0.0.1:" + portsByInstance.get(name).callers() + "/health")
              && Http.isOk(operatorsUrl(name) + "/admin/health");
        });
  }

  /**
   * Adds or replaces an instance or endpoint in the list that {@link #publishList} sends to the
   * platform.
   *
   * @param id name
   * @param kind entry, engine or service
   * @param domain failure domain
   * @param port port
   * @param pool model or service
   * @param state live or leaving
   */
  public void putListedInstance(
      String id, String kind, String domain, int port, String pool, String state) {
    instanceRows.put(id, kind, domain, port, pool, state);
  }

  /** Sends the current list of instances to the platform. */
  public void publishList() {
    sendControlCall("PUT", platformAddress, "instances", instanceRows.toJson());
  }

  /**
   * Sets the faults of a stand-in.
   *
   * @param name "platform" or the name of an endpoint
   * @param json all faults
   */
  public void setFaults(String name, String json) {
    sendControlCall("PUT", address(name), "faults", json);
  }

  /**
   * Sends a request to the control address of a stand-in, and requires success.
   *
   * @param method HTTP method
   * @param address host and port
   * @param what last part of the path
   * @param json body
   */
  public void sendControlCall(String method, String address, String what, String json) {
    String url = "http://" + address + "/control/" + what;
    Http.requireSuccess(Http.await(method, url, json, Map.of()), "control");
  }

  /**
   * Returns the counters of a stand-in.
   *
   * @param name "platform" or the name of an endpoint
   * @return counters
   */
  public JsonNode counters(String name) {
    return Http.standInCounters(address(name));
  }

  /**
   * Returns the address of a stand-in.
   *
   * @param name "platform" or the name of an endpoint
   * @return host and port
   */
  public String address(String name) {
    return name.equals("platform") ? platformAddress : endpointAddresses.get(name);
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
   * Sends a chat completion request.
   *
   * @param instance instance that receives it
   * @param question text of the message
   * @param tokens maximum number of output tokens
   * @param stream whether the response is streamed
   * @param headers further headers
   * @return response
   */
  public CompletableFuture<HttpResponse<String>> sendChatRequest(
      String instance, String question, int tokens, boolean stream, Map<String, String> headers) {
    String body = Http.chatBody(question, tokens, stream);
    return sendRequest("POST", instance, "/v1/chat/completions", body, headers);
  }

  /**
   * Sends a booking whose name is its idempotency key.
   *
   * @param instance instance that receives it
   * @param booking name of the booking
   * @return response
   */
  public CompletableFuture<HttpResponse<String>> sendBooking(String instance, String booking) {
    return sendRequest(
        "POST",
        instance,
        "/services/orders/bookings",
        "{\"booking\":\"" + booking + "\"}",
        Map.of("Idempotency-Key", booking));
  }

  /**
   * Sends a request, as the team of the highest tier unless the headers authorize another.
   *
   * @param method HTTP method
   * @param instance instance that receives it
   * @param path path
   * @param body body, empty for none
   * @param headers further headers
   * @return response
   */
  public CompletableFuture<HttpResponse<String>> sendRequest(
      String method, String instance, String path, String body, Map<String, String> headers) {
    Map<String, String> allHeaders = new LinkedHashMap<>(headers);
    allHeaders.putIfAbsent("Authorization", "Bearer " + TEAM_TOKEN);
    allHeaders.putIfAbsent("Content-Type", "application/json");
    String url = "http://127.0.0.1:" + portsByInstance.get(instance).callers() + path;
    return Http.send(method, url, body, allHeaders);
  }

  private String operatorsUrl(String instance) {
    return "http://127.0.0.1:" + portsByInstance.get(instance).operators();
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
