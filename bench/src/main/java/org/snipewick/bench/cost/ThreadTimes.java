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
 * Processor time that the threads of a process have used, by name without trailing numbers.
 *
 * @param nanosByName nanoseconds on a processor
 */
record ThreadTimes(Map<String, Long> nanosByName) {
  private static final Path PROCESSES = Path.of("/proc");

  /** Copies the map. */
  ThreadTimes {
    nanosByName = Map.copyOf(nanosByName);
  }

  static ThreadTimes empty() {
    return new ThreadTimes(Map.of());
  }

  /** Reads the times of the threads that a process has now. */
  static ThreadTimes of(long processId) {
    Map<String, Long> times = new TreeMap<>();
    try (Stream<Path> threads =
        Files.list(PROCESSES.resolve(Long.toString(processId)).resolve("task"))) {
      threads.forEach(thread -> add(thread, times));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    return new ThreadTimes(times);
  }

  private static void add(Path thread, Map<String, Long> times) {
    try {
      String name = Files.readString(thread.resolve("comm")).strip().replaceAll("[-#\\d]+$", "");
      String nanos = Files.readString(thread.resolve("schedstat")).split(" ", 2)[0];
      times.merge(name, Long.parseLong(nanos), Long::sum);
    } catch (NoSuchFileException ended) {
      return;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Adds the times of another process. */
  ThreadTimes plus(ThreadTimes other) {
    Map<String, Long> sum = new LinkedHashMap<>(nanosByName);
    requireNonNull(other, "other")
        .nanosByName
        .forEach((name, time) -> sum.merge(name, time, Long::sum));
    return new ThreadTimes(sum);
  }

  /** Returns what was used since an earlier reading; threads that ended meanwhile are left out. */
  ThreadTimes since(ThreadTimes earlier) {
    Map<String, Long> used = new LinkedHashMap<>();
    nanosByName.forEach(
        (name, time) ->
            used.put(name, Math.max(0, time - earlier.nanosByName.getOrDefault(name, 0L))));
    return new ThreadTimes(used);
  }

  long totalNanos() {
    return nanosByName.values().stream().mapToLong(Long::longValue).sum();
  }
}
