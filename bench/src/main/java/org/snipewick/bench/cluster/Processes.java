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

/** The processes of a cluster, by name, and their logs. */
public final class Processes {
  private static final String PRODUCT_BINARY = "snipewick";
  private static final AtomicReference<Processes> LATEST = new AtomicReference<>();

  private final Path directory;
  private final Map<String, ChildProcess> byName = new ConcurrentHashMap<>();
  private final List<ChildProcess> started = new CopyOnWriteArrayList<>();
  private final Map<String, ChildProcess> entries = new ConcurrentHashMap<>();
  private final Map<String, Supplier<String>> logsInThisJvm = new ConcurrentHashMap<>();
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

  /** Makes processes that are started from now on write a class-data archive when they end. */
  void enableArchive(Path archive) {
    javaOptions = " -XX:ArchiveClassesAtExit=" + archive;
  }

  /** Makes processes that are started from now on write no class-data archive. */
  void disableArchive() {
    javaOptions = "";
  }

  /** Starts a stand-in and returns its address once it is ready. */
  String startStandIn(String name, List<String> arguments) {
    ChildProcess process = start(name, "standins", arguments);
    byName.put(name, process);
    return process.awaitReady();
  }

  /** Starts an entry instance, for the first time or again. */
  void startEntry(String name, Path settings) {
    entries.put(name, startProduct("entry", name, settings));
  }

  /** Starts a front of the users' platform. */
  ChildProcess startFront(String name, Path settings) {
    return startProduct("front", name, settings);
  }

  /** Starts a front of the users' platform with a lowered heap and limit of open descriptors. */
  ChildProcess startLimitedFront(
      String name, Path settings, int heapMegabytes, int maxDescriptors) {
    return startLimited("front", name, settings, heapMegabytes, maxDescriptors);
  }

  /** Starts an entry instance with a lowered heap and limit of open descriptors. */
  void startLimitedEntry(String name, Path settings, int heapMegabytes, int maxDescriptors) {
    entries.put(name, startLimited("entry", name, settings, heapMegabytes, maxDescriptors));
  }

  private ChildProcess startLimited(
      String command, String name, Path settings, int heapMegabytes, int maxDescriptors) {
    ChildProcess process =
        ChildProcess.startWithDescriptorLimit(
            directory,
            name,
            PRODUCT_BINARY,
            List.of(command, "--settings", settings.toString()),
            " -Xmx" + heapMegabytes + "m",
            maxDescriptors);
    byName.put(name, process);
    started.add(process);
    return process;
  }

  private ChildProcess startProduct(String command, String name, Path settings) {
    ChildProcess process =
        start(name, PRODUCT_BINARY, List.of(command, "--settings", settings.toString()));
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

  /** Returns the latest process of a name, null if none was started. */
  ChildProcess find(String name) {
    return byName.get(name);
  }

  /**
   * Adds an instance that runs in this JVM and therefore has no output of its own.
   *
   * @param name name of the instance; replaces an earlier one of that name
   * @param log returns what the instance has logged
   */
  public void addInstanceInThisJvm(String name, Supplier<String> log) {
    logsInThisJvm.put(name, log);
  }

  private String logInThisJvm(String name) {
    try {
      return logsInThisJvm.get(name).get();
    } catch (RuntimeException gone) {
      return "log is unavailable: " + gone;
    }
  }

  /**
   * Returns what all processes wrote last, including those that were replaced, and what instances
   * in this JVM have logged.
   *
   * @return logs, each under the name of its process
   */
  public String logs() {
    return Stream.concat(
            started.stream().map(each -> "--- " + each.name() + "\n" + each.endOfLog()),
            logsInThisJvm.keySet().stream()
                .sorted()
                .map(name -> "--- " + name + " (in this JVM)\n" + logInThisJvm(name)))
        .collect(Collectors.joining("\n"));
  }

  /**
   * Runs the command "explain" for a request on the logs of all entry instances.
   *
   * @param request identifier of the request, or idempotency key
   * @return its output
   */
  public String explain(String request) {
    List<String> command = new ArrayList<>(List.of("explain", "--request", request));
    entries.values().forEach(entry -> command.addAll(List.of("--log", entry.output().toString())));
    ChildProcess explain = start("explain", PRODUCT_BINARY, command);
    explain.awaitExit();
    return explain.log();
  }

  /** Kills all processes. */
  void close() {
    byName.values().forEach(ChildProcess::close);
  }
}
