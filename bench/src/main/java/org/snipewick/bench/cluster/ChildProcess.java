package org.snipewick.bench.cluster;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A process that a test or measurement started; its output goes to files. */
public final class ChildProcess implements AutoCloseable {
  private static final Path BINARY_DIRECTORY = findBinaryDirectory();
  private static final long BYTES_PER_KILOBYTE = 1024;
  private static final long MAX_PRINTED_LOG_BYTES = 2_000_000;
  private static final long STOP_TIMEOUT_SECONDS = 10;
  private static final String JAVA_OPTIONS = "-Xmx160m -XX:+UseSerialGC -XX:TieredStopAtLevel=1";

  private final String name;
  private final Process process;
  private final Path output;

  private ChildProcess(String name, Process process, Path output) {
    this.name = name;
    this.process = process;
    this.output = output;
  }

  /** Returns the target directory of the repository, also in the working directory of a module. */
  private static Path findBinaryDirectory() {
    Path target = Path.of("target").toAbsolutePath();
    return Files.isExecutable(target.resolve("snipewick"))
        ? target
        : Path.of("..", "target").toAbsolutePath().normalize();
  }

  /** Creates a temporary directory for the files of a cluster. */
  static Path newDirectory() {
    try {
      return Files.createTempDirectory("snipewick");
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Returns the path of a file beside this repository's binaries. */
  static Path binaryFile(String file) {
    return BINARY_DIRECTORY.resolve(file);
  }

  /**
   * Starts one of this repository's binaries with output to files in a directory.
   *
   * @param javaOptions options that are appended to those of every JVM
   */
  static ChildProcess start(
      Path directory, String name, String binary, List<String> arguments, String javaOptions) {
    List<String> command = new ArrayList<>(List.of(binaryFile(binary).toString()));
    command.addAll(arguments);
    return launch(directory, name, command, javaOptions);
  }

  /** Starts a binary as above, with a lowered limit of open descriptors. */
  static ChildProcess startWithDescriptorLimit(
      Path directory,
      String name,
      String binary,
      List<String> arguments,
      String javaOptions,
      int maxDescriptors) {
    String script = "ulimit -n " + maxDescriptors + " && exec \"$@\"";
    List<String> command =
        new ArrayList<>(List.of("sh", "-c", script, "sh", binaryFile(binary).toString()));
    command.addAll(arguments);
    return launch(directory, name, command, javaOptions);
  }

  private static ChildProcess launch(
      Path directory, String name, List<String> command, String javaOptions) {
    try {
      Path output = directory.resolve(name + "-" + System.nanoTime() + ".out");
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().put("SNIPEWICK_JAVA_OPTIONS", JAVA_OPTIONS + javaOptions);
      builder.redirectOutput(output.toFile());
      builder.redirectError(directory.resolve(output.getFileName() + ".log").toFile());
      return new ChildProcess(name, builder.start(), output);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Waits until the process prints that it is ready, and returns the address in that line. */
  String awaitReady() {
    Await.until(Duration.ofSeconds(30), name + " is ready", () -> !readyLine().isEmpty());
    return readyLine().substring(readyLine().lastIndexOf(' ') + 1);
  }

  private String readyLine() {
    requireAlive();
    try {
      return Files.readString(output)
          .lines()
          .filter(line -> line.matches("ready \\w+ \\S+:\\d+"))
          .findFirst()
          .orElse("");
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /**
   * Returns what the process wrote to standard output and to standard error.
   *
   * @return text
   */
  public String log() {
    try {
      Path errors = output.resolveSibling(output.getFileName() + ".log");
      return Files.readString(output) + Files.readString(errors);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Returns the end of {@link #log()}, so that a log of some gigabytes can be printed. */
  String endOfLog() {
    Path errors = output.resolveSibling(output.getFileName() + ".log");
    return endOf(output) + endOf(errors);
  }

  private static String endOf(Path file) {
    try (RandomAccessFile opened = new RandomAccessFile(file.toFile(), "r")) {
      int length = (int) Math.min(opened.length(), MAX_PRINTED_LOG_BYTES);
      byte[] end = new byte[length];
      opened.seek(opened.length() - length);
      opened.readFully(end);
      return new String(end, StandardCharsets.UTF_8);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Returns the name of the instance or endpoint. */
  String name() {
    return name;
  }

  /** Returns the file that holds what the process wrote to standard output. */
  Path output() {
    return output;
  }

  /** Kills the process and waits until it has ended. */
  public void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /** Suspends the process until it is resumed. */
  public void pause() {
    signal("-STOP");
  }

  /** Resumes a paused process. */
  public void resume() {
    signal("-CONT");
  }

  /** Signals the process to reload its settings file. */
  public void reload() {
    signal("-HUP");
  }

  /** Sends the process the signal for a planned stop, and returns at once. */
  public void terminate() {
    process.destroy();
  }

  /**
   * Waits until the process has ended.
   *
   * @return exit code
   * @throws AssertionError if the process does not end within 30 s, or the thread is interrupted
   */
  public int awaitExit() {
    try {
      if (!process.waitFor(STOP_TIMEOUT_SECONDS * 3, TimeUnit.SECONDS)) {
        throw new AssertionError(name + " did not end");
      }
      return process.exitValue();
    } catch (InterruptedException failure) {
      Thread.currentThread().interrupt();
      throw new AssertionError(failure);
    }
  }

  /**
   * Returns the processor time of the process.
   *
   * @return sum over all its threads, zero if unknown
   */
  public Duration processorTime() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /**
   * Returns the process identifier of the operating system.
   *
   * @return process identifier
   */
  public long id() {
    return process.pid();
  }

  /**
   * Returns whether the process runs.
   *
   * @return whether it has not ended
   */
  public boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Returns the number of descriptors that the process has open.
   *
   * @return number of open files and sockets
   */
  public long openDescriptors() {
    try (Stream<Path> descriptors =
        Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
      return descriptors.count();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /**
   * Returns the resident memory of the process.
   *
   * @return bytes
   */
  public long residentBytes() {
    return statusBytes("VmRSS:");
  }

  /**
   * Returns the largest resident memory that the process has had since its start.
   *
   * @return bytes
   */
  public long peakResidentBytes() {
    return statusBytes("VmHWM:");
  }

  private long statusBytes(String field) {
    try (Stream<String> lines =
        Files.lines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
      return lines
          .filter(line -> line.startsWith(field))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * BYTES_PER_KILOBYTE)
          .sum();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Runs a full garbage collection in the process. */
  public void collectGarbage() {
    runCommand("jcmd", Long.toString(process.pid()), "GC.run");
  }

  /** Fails with the log of the process if it has ended. */
  void requireAlive() {
    if (!process.isAlive()) {
      throw new AssertionError(name + " ended: " + log());
    }
  }

  private void signal(String signal) {
    runCommand("kill", signal, Long.toString(process.pid()));
  }

  private static void runCommand(String... command) {
    try {
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
      int exit = builder.start().waitFor();
      if (exit != 0) {
        throw new AssertionError(String.join(" ", command) + " exited with " + exit);
      }
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } catch (InterruptedException failure) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
