package org.snipewick.bench.cluster;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

/**
 * The front process of this system, run on a stand-in for the users' platform; each is a process of
 * its own.
 */
public final class FrontInstance implements AutoCloseable {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

  /** Settings with placeholders for ports; the class-data archive is created from them too. */
  private static final Path SETTINGS = ChildProcess.binaryFile("../deploy/training/settings.yaml");

  private final int callersPort = FreePorts.next();
  private final int readyPort = FreePorts.next();
  private final int storePort = FreePorts.next();
  private final Path directory = ChildProcess.newDirectory();
  private final ChildProcess store;
  private final ChildProcess process;

  private FrontInstance(BiFunction<Processes, Path, ChildProcess> startFront) {
    Processes processes = new Processes(directory);
    processes.startStandIn("platform", List.of("platform", "--port", Integer.toString(storePort)));
    store = processes.find("platform");
    process = startFront.apply(processes, settingsFile());
  }

  /**
   * Starts the front and the store; the front is not ready before the store holds a plan and an
   * endpoint.
   *
   * @return running instance
   */
  public static FrontInstance start() {
    return new FrontInstance((processes, settings) -> processes.startFront("front-1", settings));
  }

  /**
   * Starts the front and the store as {@link #start()} does, the front with lowered limits.
   *
   * @param heapMegabytes maximum heap of the front
   * @param maxDescriptors maximum number of files and sockets that the front may have open
   * @return running instance
   */
  public static FrontInstance startWithLimits(int heapMegabytes, int maxDescriptors) {
    return new FrontInstance(
        (processes, settings) ->
            processes.startLimitedFront("front-1", settings, heapMegabytes, maxDescriptors));
  }

  private Path settingsFile() {
    try {
      String text =
          Files.readString(SETTINGS)
              .replace("@CALLERS@", Integer.toString(callersPort))
              .replace("@READY@", Integer.toString(readyPort))
              .replace("@PEERS@", Integer.toString(FreePorts.next()))
              .replace("@STORE@", Integer.toString(storePort));
      return Files.writeString(directory.resolve("node.yaml"), text);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /**
   * Writes a row of the store, whether or not it exists.
   *
   * @param table name of the table
   * @param key key of the row
   * @param content content as text
   */
  public void putRow(String table, String key, String content) {
    String value = Base64.getEncoder().encodeToString(content.getBytes(UTF_8));
    String row =
        "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\"}"
            .formatted(requireNonNull(table, "table"), requireNonNull(key, "key"), value);
    String body = "{\"expected_rev\":[],\"writes\":[" + row + "],\"remove\":[]}";
    Http.requireSuccess(Http.await("POST", storeUrl("/rows-tx"), body, Map.of()), "row");
  }

  /**
   * Replaces the faults of the store.
   *
   * @param json faults; those left out are removed
   */
  public void setStoreFaults(String json) {
    Http.requireSuccess(Http.await("PUT", storeUrl("/control/faults"), json, Map.of()), "faults");
  }

  private String storeUrl(String path) {
    return "http://127.0.0.1:" + storePort + path;
  }

  /**
   * Returns the address for callers.
   *
   * @return address on this host
   */
  public InetSocketAddress callers() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), callersPort);
  }

  /**
   * Sends a POST request to the address for callers.
   *
   * @param path path
   * @param body body
   * @param headers headers by name
   * @return response
   */
  public CompletableFuture<HttpResponse<String>> sendPost(
      String path, String body, Map<String, String> headers) {
    return Http.send("POST", "http://127.0.0.1:" + callersPort + path, body, headers);
  }

  /**
   * Sends a GET request to the address for callers.
   *
   * @param path path
   * @param headers headers by name
   * @return response
   */
  public CompletableFuture<HttpResponse<String>> sendGet(String path, Map<String, String> headers) {
    return Http.send("GET", "http://127.0.0.1:" + callersPort + path, "", headers);
  }

  /**
   * Returns whether the front reports that it is ready, at the address for load balancers.
   *
   * @return whether the status is 200
   */
  public boolean isReady() {
    return Http.isOk("http://127.0.0.1:" + readyPort + "/ready");
  }

  /** Waits until the front reports that it is ready. */
  public void awaitReady() {
    Await.until(START_TIMEOUT, () -> "front is ready: " + process.log(), this::isReady);
  }

  /**
   * Returns the process of the front.
   *
   * @return process
   */
  public ChildProcess process() {
    return process;
  }

  @Override
  public void close() {
    process.close();
    store.close();
  }
}
