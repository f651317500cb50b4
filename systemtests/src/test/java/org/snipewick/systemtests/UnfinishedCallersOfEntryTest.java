package org.snipewick.systemtests;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.snipewick.bench.cluster.ChildProcess;
import org.snipewick.bench.cluster.Cluster;

/** Tests an entry process with lowered limits. */
@Tag("alone")
class UnfinishedCallersOfEntryTest extends UnfinishedCallersCases {
  private static final String ENTRY = "wien-a.1";
  private static final int HEAP_MEGABYTES = 48;
  private static final int MAX_DESCRIPTORS = 400;

  /** Memory that the smallest deployment gives a process. */
  private static final long MAX_RESIDENT_BYTES = 280_000_000;

  /** Leaves descriptors for connections to endpoints, the store and peers. */
  private static final long MAX_OPEN_DESCRIPTORS = MAX_DESCRIPTORS - 10;

  private static final int LARGE_CHUNK_BYTES = 400_000;
  private static final int CONNECTIONS = 450;

  private Cluster cluster;
  private CallerCrowd crowd;

  UnfinishedCallersOfEntryTest() {
    super(new Bounds(LARGE_CHUNK_BYTES, CONNECTIONS, MAX_RESIDENT_BYTES, MAX_OPEN_DESCRIPTORS));
  }

  @BeforeEach
  void start() {
    cluster = Cluster.start();
    cluster.startService("orders-1", "wien-a");
    cluster.startLimitedEntry(ENTRY, HEAP_MEGABYTES, MAX_DESCRIPTORS);
    cluster.applyTestCatalogue(ENTRY);
    crowd = new CallerCrowd(cluster.callers(ENTRY), "POST /services/orders/bookings");
  }

  @AfterEach
  void stop() throws IOException {
    crowd.close();
    cluster.close();
  }

  @Override
  protected CallerCrowd crowd() {
    return crowd;
  }

  @Override
  protected ChildProcess process() {
    return cluster.process(ENTRY);
  }

  @Override
  protected CompletableFuture<HttpResponse<String>> sendOrdinary(String id) {
    return cluster.sendBooking(ENTRY, id);
  }
}
