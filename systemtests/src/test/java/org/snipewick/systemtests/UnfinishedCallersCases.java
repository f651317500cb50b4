package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.ChildProcess;

/**
 * Crowds of callers that do not finish their requests, at a process with lowered limits. Guards
 * against a process that ends, exceeds its memory or its descriptors, or serves no others.
 */
public abstract class UnfinishedCallersCases {
  private static final int OK = 200;
  private static final int HEADS = 40;
  private static final int HEAD_BYTES = 400_000;
  private static final int EMPTY_LINE_CALLERS = 10;
  private static final int EMPTY_LINE_BYTES = 2_000_000;
  private static final int BODIES = 200;
  private static final int TINY_CHUNKS = 20_000;
  private static final int ENDLESS_PARTS = 40;
  private static final int ENDLESS_PART_BYTES = 2_000_000;
  private static final Duration RETRY_TIME = Duration.ofSeconds(20);

  private final Bounds bounds;

  /**
   * Creates the cases for a kind of process.
   *
   * @param bounds crowd that depends on the limits of the process, and what it may use
   */
  protected UnfinishedCallersCases(Bounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Crowd that depends on the limits of a process, and what the process may use.
   *
   * @param largeChunkBytes size of a body in one chunk
   * @param connections number of connections, more than the process may have open
   * @param maxResidentBytes maximum of the resident memory
   * @param maxOpenDescriptors maximum number of open descriptors
   */
  public record Bounds(
      int largeChunkBytes, int connections, long maxResidentBytes, long maxOpenDescriptors) {}

  /** Returns the crowd, without callers so far. */
  protected abstract CallerCrowd crowd();

  /** Returns the process. */
  protected abstract ChildProcess process();

  /** Sends a request of an ordinary caller, to be answered with 200. */
  protected abstract CompletableFuture<HttpResponse<String>> sendOrdinary(String id);

  /** Checks that the process lives within its bounds and answers an ordinary request. */
  protected final void checkThatOthersAreServed() {
    assertThat(process().isAlive()).isTrue();
    assertThat(sendOrdinary("ordinary").join().statusCode()).isEqualTo(OK);
    assertThat(process().isAlive()).isTrue();
    assertThat(process().peakResidentBytes()).isLessThan(bounds.maxResidentBytes());
    assertThat(process().openDescriptors()).isLessThan(bounds.maxOpenDescriptors());
    assertThat(process().log()).doesNotContain("OutOfMemoryError");
  }

  /** Checks the same for callers that try again if they are refused or their connection closes. */
  protected final void checkThatOthersAreServedInTheEnd() {
    Await.until(RETRY_TIME, "others are served", this::isRetryServed);
    checkThatOthersAreServed();
  }

  private boolean isRetryServed() {
    return sendOrdinary("retry")
        .handle((response, thrown) -> thrown == null && response.statusCode() == OK)
        .join();
  }

  @Test
  void shouldServeOthersWhenHeadsDoNotEnd() throws IOException {
    crowd().send(HEADS, crowd().endlessHead(HEAD_BYTES));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenEmptyLinesDoNotEnd() throws IOException {
    crowd().send(EMPTY_LINE_CALLERS, crowd().emptyLines(EMPTY_LINE_BYTES));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenBodiesInTinyChunksStopJustShort() throws IOException {
    crowd().send(BODIES, crowd().bodyInTinyChunks(TINY_CHUNKS));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenBodiesInLargeChunksStopJustShort() throws IOException {
    crowd().send(BODIES, crowd().bodyInLargeChunk(bounds.largeChunkBytes()));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenCallersSendNothing() throws IOException {
    crowd().send(bounds.connections(), "");

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenHeadsOfFurtherRequestsDoNotEnd() throws IOException {
    crowd().send(bounds.connections(), crowd().beginOfFurtherHead());

    checkThatOthersAreServedInTheEnd();
  }

  @Test
  void shouldServeOthersWhenTrailersDoNotEnd() throws IOException {
    crowd().send(ENDLESS_PARTS, crowd().endlessTrailers(ENDLESS_PART_BYTES));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenChunkExtensionsDoNotEnd() throws IOException {
    crowd().send(ENDLESS_PARTS, crowd().endlessChunkExtension(ENDLESS_PART_BYTES));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenCrowdIsMixed() throws IOException {
    List<String> texts = new ArrayList<>();
    texts.addAll(CallerCrowd.repeat(HEADS / 2, crowd().endlessHead(HEAD_BYTES)));
    texts.addAll(CallerCrowd.repeat(EMPTY_LINE_CALLERS / 2, crowd().emptyLines(EMPTY_LINE_BYTES)));
    texts.addAll(CallerCrowd.repeat(BODIES / 2, crowd().bodyInTinyChunks(TINY_CHUNKS)));
    texts.addAll(
        CallerCrowd.repeat(BODIES / 2, crowd().bodyInLargeChunk(bounds.largeChunkBytes())));
    crowd().send(texts);

    checkThatOthersAreServed();
  }
}
