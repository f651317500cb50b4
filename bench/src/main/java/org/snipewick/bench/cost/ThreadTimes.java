package org.snipewick.bench.cost;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Processor time that threads have used, summed over the threads of the same name. Trailing numbers
 * are removed from the names.
 *
 * @param nanosByName processor time in nanoseconds, by thread name
 */
record ThreadTimes(Map<String, Long> nanosByName) {
  private static final Path PROC_DIRECTORY = Path.of("/proc");

  /** Copies the map. */
  ThreadTimes {
    nanosByName = Map.copyOf(nanosByName);
  }

  static ThreadTimes empty() {
    return new ThreadTimes(Map.of());
  }

  /**
   * Reads the times of the current threads of a process.
   *
   * @throws UncheckedIOException if the process does not exist or cannot be read
   */
  static ThreadTimes of(long processId) {
    Map<String, Long> nanosByName = new TreeMap<>();
    try (Stream<Path> threads =
        Files.list(PROC_DIRECTORY.resolve(Long.toString(processId)).resolve("task"))) {
      threads.forEach(thread -> add(thread, nanosByName));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    return new ThreadTimes(nanosByName);
  }

  private static void add(Path thread, Map<String, Long> nanosByName) {
    try {
      String name = Files.readString(thread.resolve("comm")).strip().replaceAll("[-#\\d]+$", "");
      String nanos = Files.readString(thread.resolve("schedstat")).split(" ", 2)[0];
      nanosByName.merge(name, Long.parseLong(nanos), Long::sum);
    } catch (NoSuchFileException ended) {
      return;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Returns the sums of these times and those of another process. */
  ThreadTimes plus(ThreadTimes other) {
    Map<String, Long> sum = new LinkedHashMap<>(nanosByName);
    requireNonNull(other, "other")
        .nanosByName
        .forEach((name, nanos) -> sum.merge(name, nanos, Long::sum));
    return new ThreadTimes(sum);
  }

  /**
   * Returns the times used since an earlier reading. A name that no thread has now is left out, and
   * one whose sum has fallen, because a thread ended, has the time 0.
   */
  ThreadTimes since(ThreadTimes earlier) {
    Map<String, Long> used = new LinkedHashMap<>();
    nanosByName.forEach(
        (name, nanos) ->
            used.put(name, Math.max(0, nanos - earlier.nanosByName.getOrDefault(name, 0L))));
    return new ThreadTimes(used);
  }

  long totalNanos() {
    return nanosByName.values().stream().mapToLong(Long::longValue).sum();
  }
}
