package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.ChildProcess;
import org.snipewick.bench.cluster.Cluster;

/**
 * Tests an entry process with lowered limits while a crowd of callers does not finish its requests.
 * Guards against a process that ends, exceeds its memory or its descriptors, or serves no others.
 */
@Tag("alone")
class UnfinishedCallersOfEntryTest {
  private static final String ENTRY = "wien-a.1";
  private static final int HEAP_MEGABYTES = 48;
  private static final int MAX_DESCRIPTORS = 400;

  /** Memory of the smallest machine of the users. */
  private static final long MAX_RESIDENT_BYTES = 280_000_000;

  /** Leaves descriptors for connections to endpoints, the store and peers. */
  private static final long MAX_OPEN_DESCRIPTORS = MAX_DESCRIPTORS - 10;

  private static final int HEADS = 40;
  private static final int HEAD_BYTES = 400_000;
  private static final int EMPTY_LINE_CALLERS = 10;
  private static final int EMPTY_LINE_BYTES = 2_000_000;
  private static final int BODIES = 200;
  private static final int TINY_CHUNKS = 20_000;
  private static final int LARGE_CHUNK_BYTES = 400_000;
  private static final int SILENT_CALLERS = 450;
  private static final int ENDLESS_PARTS = 40;
  private static final int ENDLESS_PART_BYTES = 2_000_000;

  private static final Duration RETRY_TIME = Duration.ofSeconds(20);

  private Cluster cluster;
  private CallerCrowd crowd;

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

  private void checkThatOthersAreServed() {
    ChildProcess process = cluster.process(ENTRY);
    assertThat(process.isAlive()).isTrue();
    assertThat(cluster.sendBooking(ENTRY, "ordinary").join().statusCode()).isEqualTo(200);
    assertThat(process.isAlive()).isTrue();
    assertThat(process.peakResidentBytes()).isLessThan(MAX_RESIDENT_BYTES);
    assertThat(process.openDescriptors()).isLessThan(MAX_OPEN_DESCRIPTORS);
    assertThat(process.log()).doesNotContain("OutOfMemoryError");
  }

  private boolean isRetryServed() {
    return cluster
        .sendBooking(ENTRY, "retry")
        .handle((response, thrown) -> thrown == null && response.statusCode() == 200)
        .join();
  }

  @Test
  void shouldServeOthersWhenHeadsDoNotEnd() throws IOException {
    crowd.send(CallerCrowd.repeat(HEADS, crowd.endlessHead(HEAD_BYTES)));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenEmptyLinesDoNotEnd() throws IOException {
    crowd.send(CallerCrowd.repeat(EMPTY_LINE_CALLERS, crowd.emptyLines(EMPTY_LINE_BYTES)));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenBodiesInTinyChunksStopJustShort() throws IOException {
    crowd.send(CallerCrowd.repeat(BODIES, crowd.bodyInTinyChunks(TINY_CHUNKS)));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenBodiesInLargeChunksStopJustShort() throws IOException {
    crowd.send(CallerCrowd.repeat(BODIES, crowd.bodyInLargeChunk(LARGE_CHUNK_BYTES)));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenCallersSendNothing() throws IOException {
    crowd.send(CallerCrowd.repeat(SILENT_CALLERS, ""));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenHeadsOfFurtherRequestsDoNotEnd() throws IOException {
    crowd.send(CallerCrowd.repeat(SILENT_CALLERS, crowd.beginOfFurtherHead()));

    // Callers try again on a new connection if theirs is closed.
    Await.until(RETRY_TIME, "others are served", this::isRetryServed);
    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenTrailersDoNotEnd() throws IOException {
    crowd.send(CallerCrowd.repeat(ENDLESS_PARTS, crowd.endlessTrailers(ENDLESS_PART_BYTES)));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenChunkExtensionsDoNotEnd() throws IOException {
    crowd.send(CallerCrowd.repeat(ENDLESS_PARTS, crowd.endlessChunkExtension(ENDLESS_PART_BYTES)));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenCrowdIsMixed() throws IOException {
    List<String> texts = new ArrayList<>();
    texts.addAll(CallerCrowd.repeat(HEADS / 2, crowd.endlessHead(HEAD_BYTES)));
    texts.addAll(CallerCrowd.repeat(EMPTY_LINE_CALLERS / 2, crowd.emptyLines(EMPTY_LINE_BYTES)));
    texts.addAll(CallerCrowd.repeat(BODIES / 2, crowd.bodyInTinyChunks(TINY_CHUNKS)));
    texts.addAll(CallerCrowd.repeat(BODIES / 2, crowd.bodyInLargeChunk(LARGE_CHUNK_BYTES)));
    crowd.send(texts);

    checkThatOthersAreServed();
  }
}
