package org.snipewick.bench.cluster;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Processes of a cluster by name, with their logs. */
public final class Processes {
  private static final String PRODUCT = "snipewick";
  private static final AtomicReference<Processes> LATEST = new AtomicReference<>();

  private final Path directory;
  private final Map<String, ChildProcess> byName = new ConcurrentHashMap<>();
  private final List<ChildProcess> started = new CopyOnWriteArrayList<>();
  private final Map<String, ChildProcess> entries = new ConcurrentHashMap<>();
  private final Map<String, Supplier<String>> inThisProcess = new ConcurrentHashMap<>();
  private String javaOptions = "";

  Processes(Path directory) {
    this.directory = directory;
    LATEST.set(this);
  }

  /**
   * Returns the processes of the cluster that was started last in this JVM, running or not.
   *
   * @return processes, empty before the first cluster
   */
  public static Optional<Processes> latest() {
    return Optional.ofNullable(LATEST.get());
  }

  /** Lets processes that are started from now on write a class-data archive when they end. */
  void writeArchive(Path archive) {
    javaOptions = " -XX:ArchiveClassesAtExit=" + archive;
  }

  /** Lets processes that are started from now on write no archive. */
  void writeNoArchive() {
    javaOptions = "";
  }

  /** Starts a stand-in and waits for its address. */
  String standIn(String name, List<String> arguments) {
    ChildProcess process = start(name, "standins", arguments);
    byName.put(name, process);
    return process.awaitReady();
  }

  /** Starts an entry instance, for the first time or again. */
  void entry(String name, Path settings) {
    entries.put(name, product("entry", name, settings));
  }

  /** Starts a front of the users' platform. */
  ChildProcess front(String name, Path settings) {
    return product("front", name, settings);
  }

  private ChildProcess product(String command, String name, Path settings) {
    ChildProcess process =
        start(name, PRODUCT, List.of(command, "--settings", settings.toString()));
    byName.put(name, process);
    return process;
  }

  private ChildProcess start(String name, String binary, List<String> arguments) {
    ChildProcess process = ChildProcess.start(directory, name, binary, arguments, javaOptions);
    started.add(process);
    return process;
  }

  /** Fails with the log of the latest process of a name if it has ended. */
  void requireAlive(String name) {
    if (byName.containsKey(name)) {
      byName.get(name).requireAlive();
    }
  }

  /** Finds the latest process of a name; null if none was started. */
  ChildProcess find(String name) {
    return byName.get(name);
  }

  /**
   * Adds an instance that runs in this JVM and therefore has no output of its own.
   *
   * @param name name of the instance; replaces an earlier one of that name
   * @param log gives what the instance has recorded
   */
  public void addInThisProcess(String name, Supplier<String> log) {
    inThisProcess.put(name, log);
  }

  private String logOfThisProcess(String name) {
    try {
      return inThisProcess.get(name).get();
    } catch (RuntimeException gone) {
      return "not to be had: " + gone;
    }
  }

  /**
   * Returns what all processes wrote, those that were replaced too, and what instances in this JVM
   * have recorded.
   *
   * @return logs, each under the name of its process
   */
  public String logs() {
    return Stream.concat(
            started.stream().map(each -> "--- " + each.name() + "\n" + each.log()),
            inThisProcess.keySet().stream()
                .sorted()
                .map(name -> "--- " + name + " (in this JVM)\n" + logOfThisProcess(name)))
        .collect(Collectors.joining("\n"));
  }

  /**
   * Asks the binary what the logs of all entry instances say of a request.
   *
   * @param request identifier of the request, or idempotency key
   * @return what it printed
   */
  public String explain(String request) {
    List<String> command = new ArrayList<>(List.of("explain", "--request", request));
    entries.values().forEach(entry -> command.addAll(List.of("--log", entry.output().toString())));
    ChildProcess explain = start("explain", PRODUCT, command);
    explain.awaitExit();
    return explain.log();
  }

  /** Ends all processes without warning. */
  void close() {
    byName.values().forEach(ChildProcess::close);
  }
}
