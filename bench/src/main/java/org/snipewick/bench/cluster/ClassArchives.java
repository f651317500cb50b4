package org.snipewick.bench.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Creates the class-data archives with which the binaries start. A binary uses the archive beside
 * it as long as the binary is the file with which the archive was created, and starts without one
 * otherwise.
 */
public final class ClassArchives {
  private static final String FILE_SUFFIX = ".jsa";
  private static final String ENTRY_INSTANCE = "wien-a.1";

  private ClassArchives() {}

  /**
   * Runs a small cluster, sends it one request of each kind, and stops it as planned. The processes
   * write the archives when they end.
   *
   * @throws IllegalStateException if an archive was not written
   */
  public static void create() {
    Path entry = deleteArchive("snipewick");
    Path engine = deleteArchive("standins");
    try (Cluster cluster = Cluster.start()) {
      cluster.processes().enableArchive(engine);
      cluster.startEngine("engine-1", "wien-a");
      cluster.processes().disableArchive();
      cluster.startService("orders-1", "wien-a");
      cluster.processes().enableArchive(entry);
      cluster.startEntries(ENTRY_INSTANCE);
      cluster.processes().disableArchive();
      cluster.startEntries("wien-a.2").applyTestCatalogue(ENTRY_INSTANCE);
      Map<String, String> key = Map.of("Idempotency-Key", "question-1");
      Http.requireSuccess(
          cluster.sendChatRequest(ENTRY_INSTANCE, "route", 2, true, key).join(), "stream");
      Http.requireSuccess(
          cluster.sendChatRequest(ENTRY_INSTANCE, "route", 2, false, Map.of()).join(), "question");
      Http.requireSuccess(cluster.sendBooking(ENTRY_INSTANCE, "booking-1").join(), "booking");
      for (String process : List.of(ENTRY_INSTANCE, "engine-1")) {
        cluster.process(process).terminate();
        cluster.process(process).awaitExit();
      }
    }
    requireArchive(entry);
    requireArchive(engine);
  }

  /** Deletes the archive of a binary, if there is one, and returns its path. */
  private static Path deleteArchive(String binary) {
    Path archive = ChildProcess.binaryFile(binary + FILE_SUFFIX);
    try {
      Files.deleteIfExists(archive);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    return archive;
  }

  private static void requireArchive(Path archive) {
    if (!Files.isReadable(archive)) {
      throw new IllegalStateException("no archive was written: " + archive);
    }
  }
}
