package org.snipewick.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.endpoint.http.FakeEndpoint;
import org.snipewick.endpoint.http.HttpLoadReportClient;
import org.snipewick.endpoint.http.TestEventLoop;
import org.snipewick.event.EventLog;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.time.VirtualTimerService;

class LoadReportPollerTest {
  private static final Duration PERIOD = Duration.ofSeconds(1);

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final List<EndpointStatus> updates = new ArrayList<>();
  private Supplier<CompletableFuture<LoadReport>> results = () -> report("live");
  private EndpointStatus listedStatus = FakeEndpoint.status("engine-1", 1);
  private final LoadReportPoller poller =
      LoadReportPoller.start(
          endpoint -> results.get(),
          () -> List.of(listedStatus),
          updates::add,
          timer,
          EventLog.none(),
          PERIOD);

  @AfterEach
  void close() {
    poller.close();
  }

  @ParameterizedTest(name = "reported {0}, listed {1}")
  @CsvSource({"live,LIVE,LIVE", "leaving,LIVE,LEAVING", "live,LEAVING,LEAVING"})
  void shouldBeLeavingWhenReportOrListIsLeaving(
      String reported, EndpointStatus.State listed, EndpointStatus.State expected) {
    results = () -> report(reported);
    listedStatus = listedStatus.withState(listed);

    timer.advance(PERIOD);

    assertThat(updates).extracting(EndpointStatus::state).containsExactly(expected);
    assertThat(updates.get(0).reportedRunning()).isEqualTo(3);
  }

  @ParameterizedTest
  @CsvSource({"false", "true"})
  void shouldBeUnreachableAfterTwoFailedReadsAndLiveAgainWhenReadSucceeds(boolean hangs) {
    results = hangs ? CompletableFuture::new : LoadReportPollerTest::failedRead;
    timer.advance(PERIOD.multipliedBy(2).plusMillis(500));
    results = hangs ? CompletableFuture::new : () -> report("live");
    timer.advance(PERIOD.multipliedBy(2));
    results = () -> report("live");
    timer.advance(PERIOD.multipliedBy(3));

    assertThat(updates)
        .extracting(EndpointStatus::state)
        .startsWith(EndpointStatus.State.UNREACHABLE)
        .endsWith(EndpointStatus.State.LIVE);
  }

  @ParameterizedTest(name = "{0} endpoints: all read within {1} ms, at most {2} reads per second")
  @CsvSource({"1,1000,1", "10,1000,10", "11,2000,10", "32,2000,16", "300,2000,150"})
  void shouldReadAllEndpointsAtBoundedRateWhenPoolIsLarge(
      int endpointCount, long withinMillis, int maxReadsPerSecond) {
    List<EndpointStatus> endpoints =
        IntStream.range(0, endpointCount)
            .mapToObj(index -> FakeEndpoint.status("engine-" + index, 1))
            .toList();
    List<EndpointStatus> reads = new ArrayList<>();
    final LoadReportPoller pollerOfMany =
        LoadReportPoller.start(
            endpoint -> report("live"),
            () -> endpoints,
            reads::add,
            timer,
            EventLog.none(),
            PERIOD);
    for (int repetition = 0; repetition < 5; repetition++) {
      reads.clear();
      for (long millis = 0; millis < withinMillis; millis += 250) {
        int before = reads.size();
        timer.advance(Duration.ofMillis(250));
        assertThat(reads.size() - before).isLessThanOrEqualTo(maxReadsPerSecond / 4 + 1);
      }
      assertThat(reads)
          .extracting(EndpointStatus::id)
          .containsAll(endpoints.stream().map(EndpointStatus::id).toList());
      assertThat(reads.size()).isLessThanOrEqualTo((int) (maxReadsPerSecond * withinMillis / 1000));
    }
    pollerOfMany.close();
  }

  @Test
  void shouldReadReportOverHttpWhenEndpointResponds() throws Exception {
    String json = "{\"state\":\"leaving\",\"running\":2,\"queued\":1,\"models\":[\"m\"]}";
    try (TestEventLoop loop = TestEventLoop.start();
        FakeEndpoint endpoint = FakeEndpoint.start(call -> call.respond(200, json))) {
      HttpLoadReportClient client = HttpLoadReportClient.of(loop.eventloop());

      LoadReport report = client.read(endpoint.status("engine-1")).get(10, TimeUnit.SECONDS);

      assertThat(report).isEqualTo(new LoadReport("leaving", 2, 1, -1, 0, 0, 0));
      endpoint.setScript(call -> call.respond(200, "{"));
      assertThat(client.read(endpoint.status("engine-1")))
          .failsWithin(Duration.ofSeconds(10))
          .withThrowableThat()
          .withMessageContaining("NO_ENDPOINT");
    }
  }

  private static CompletableFuture<LoadReport> report(String state) {
    return CompletableFuture.completedFuture(new LoadReport(state, 3, 0, -1, 0, 0, 0));
  }

  private static CompletableFuture<LoadReport> failedRead() {
    return CompletableFuture.failedFuture(
        Failure.notRun(FailureType.NO_ENDPOINT, "down").toException());
  }
}
