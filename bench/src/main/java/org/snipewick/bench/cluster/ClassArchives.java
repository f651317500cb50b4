package org.snipewick.bench.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Makes the class-data archives with which the binaries start. A binary uses the archive beside it
 * as long as it is the very file that the archive was made with, and starts without one otherwise.
 */
public final class ClassArchives {
  private static final String ENDING = ".jsa";
  private static final String ENTRY = "wien-a.1";

  private ClassArchives() {}

  /**
   * Runs a small cluster, sends it one call of each kind, and stops it as planned. The processes
   * write the archives as they end.
   */
  public static void make() {
    Path entry = fresh("snipewick");
    Path engine = fresh("standins");
    try (Cluster cluster = Cluster.start()) {
      cluster.processes().writeArchive(engine);
      cluster.engine("engine-1", "wien-a");
      cluster.processes().writeNoArchive();
      cluster.service("orders-1", "wien-a");
      cluster.processes().writeArchive(entry);
      cluster.entries(ENTRY);
      cluster.processes().writeNoArchive();
      cluster.entries("wien-a.2").catalogue(ENTRY);
      Map<String, String> key = Map.of("Idempotency-Key", "question-1");
      Http.requireSuccess(cluster.model(ENTRY, "route", 2, true, key).join(), "stream");
      Http.requireSuccess(cluster.model(ENTRY, "route", 2, false, Map.of()).join(), "question");
      Http.requireSuccess(cluster.book(ENTRY, "booking-1").join(), "booking");
      for (String process : List.of(ENTRY, "engine-1")) {
        cluster.process(process).terminate();
        cluster.process(process).awaitExit();
      }
    }
    require(entry);
    require(engine);
  }

  private static Path fresh(String binary) {
    Path archive = ChildProcess.binaryFile(binary + ENDING);
    try {
      Files.deleteIfExists(archive);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    return archive;
  }

  private static void require(Path archive) {
    if (!Files.isReadable(archive)) {
      throw new IllegalStateException("no archive was written: " + archive);
    }
  }
}
