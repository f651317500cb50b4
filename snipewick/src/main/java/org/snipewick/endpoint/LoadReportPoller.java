package org.snipewick.endpoint;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.EndpointId;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.time.TimerService;

/**
 * Poller of the load reports of the endpoints that this instance schedules, which notifies a
 * listener of the resulting status. An endpoint is unreachable after two failed reads in a row,
 * until a read succeeds.
 *
 * <p>Up to ten endpoints are read once per period. With more endpoints, the number of reads per
 * period grows so that each endpoint is read at least once in two periods. This bounds the time for
 * which an endpoint that is leaving receives new requests, whatever the size of the pool.
 */
public final class LoadReportPoller implements AutoCloseable {
  /** Default time between two reads of the report of an endpoint, in milliseconds. */
  public static final long DEFAULT_PERIOD_MILLIS = 1000;

  private static final int FAILED_READS_UNTIL_UNREACHABLE = 2;

  /** Number of endpoints up to which all are read in each period. */
  private static final int MAX_ENDPOINTS_READ_EACH_PERIOD = 10;

  /** Longest time between two reads of an endpoint, in periods. */
  private static final int MAX_READ_INTERVAL_PERIODS = 2;

  /** Number of polls over which the reads of a period are distributed. */
  private static final int POLLS_PER_PERIOD = 4;

  private final LoadReportClient client;
  private final ScheduledEndpoints endpoints;
  private final Consumer<EndpointStatus> listener;
  private final TimerService timer;
  private final EventLog log;
  private final Duration timeout;
  private final Map<EndpointId, PolledEndpoint> polledEndpoints = new ConcurrentHashMap<>();
  private final TimerService.Subscription polling;

  /** Number of reads that are due; the fraction is carried over to the next poll. */
  private double dueReads;

  /** Number of the latest read; reads are numbered in ascending order. */
  private long readCount;

  private LoadReportPoller(
      LoadReportClient client,
      ScheduledEndpoints endpoints,
      Consumer<EndpointStatus> listener,
      TimerService timer,
      EventLog log,
      Duration period) {
    this.client = client;
    this.endpoints = endpoints;
    this.listener = listener;
    this.timer = timer;
    this.log = log;
    this.timeout = period;
    this.polling = timer.every(period.dividedBy(POLLS_PER_PERIOD), this::poll);
  }

  /**
   * Starts polling.
   *
   * @param client client that reads the reports
   * @param endpoints source of the endpoints to poll, queried at each poll
   * @param listener receives the status of an endpoint after each report, and after each failed
   *     read while it is unreachable; called on threads of the client and of the timer
   * @param timer timer of polls and timeouts
   * @param log event log
   * @param period time between two reads of an endpoint if there are up to ten endpoints; also the
   *     timeout of a read
   * @return poller, which polls until it is closed
   */
  public static LoadReportPoller start(
      LoadReportClient client,
      ScheduledEndpoints endpoints,
      Consumer<EndpointStatus> listener,
      TimerService timer,
      EventLog log,
      Duration period) {
    return new LoadReportPoller(
        requireNonNull(client, "client"),
        requireNonNull(endpoints, "endpoints"),
        requireNonNull(listener, "listener"),
        requireNonNull(timer, "timer"),
        requireNonNull(log, "log"),
        requireNonNull(period, "period"));
  }

  @Override
  public void close() {
    polling.cancel();
  }

  private void poll() {
    Map<EndpointId, EndpointStatus> current =
        endpoints.current().stream()
            .collect(Collectors.toMap(EndpointStatus::id, status -> status, (a, b) -> a));
    Set<EndpointId> scheduled = current.keySet();
    polledEndpoints.keySet().retainAll(scheduled);
    scheduled.forEach(id -> polledEndpoints.computeIfAbsent(id, PolledEndpoint::new));
    dueReads += (double) readsPerPeriod(scheduled.size()) / POLLS_PER_PERIOD;
    int reads = (int) dueReads;
    dueReads -= reads;
    polledEndpoints.values().stream()
        .sorted(PolledEndpoint.LEAST_RECENTLY_READ_FIRST)
        .limit(reads)
        .forEach(endpoint -> endpoint.read(current.get(endpoint.id), ++readCount));
  }

  private static int readsPerPeriod(int endpointCount) {
    int minReads = (endpointCount + MAX_READ_INTERVAL_PERIODS - 1) / MAX_READ_INTERVAL_PERIODS;
    return Math.max(Math.min(endpointCount, MAX_ENDPOINTS_READ_EACH_PERIOD), minReads);
  }

  /** State of the reads of one endpoint. */
  private final class PolledEndpoint {
    private static final Comparator<PolledEndpoint> LEAST_RECENTLY_READ_FIRST =
        Comparator.<PolledEndpoint>comparingLong(endpoint -> endpoint.lastReadNumber)
            .thenComparing(endpoint -> endpoint.id.value());

    private final EndpointId id;
    private final AtomicBoolean readInProgress = new AtomicBoolean();
    private long lastReadNumber;
    private int consecutiveFailures;
    private EndpointStatus.State lastLoggedState;

    PolledEndpoint(EndpointId id) {
      this.id = id;
    }

    void read(EndpointStatus listed, long readNumber) {
      lastReadNumber = readNumber;
      if (!readInProgress.compareAndSet(false, true)) {
        return;
      }
      CompletableFuture<LoadReport> report = client.read(listed);
      CompletableFuture<LoadReport> reportOrTimeout = new CompletableFuture<>();
      TimerService.Subscription timeoutTask =
          timer.after(timeout, () -> reportOrTimeout.cancel(false));
      forward(report, reportOrTimeout);
      forward(
          reportOrTimeout.handle(
              (received, thrown) -> {
                timeoutTask.cancel();
                readInProgress.set(false);
                return thrown == null
                    ? recordSuccess(received.applyTo(listed))
                    : recordFailure(listed);
              }),
          new CompletableFuture<>());
    }

    private synchronized EndpointStatus recordSuccess(EndpointStatus status) {
      consecutiveFailures = 0;
      return notifyListener(status);
    }

    private synchronized EndpointStatus recordFailure(EndpointStatus listed) {
      consecutiveFailures++;
      return consecutiveFailures >= FAILED_READS_UNTIL_UNREACHABLE
          ? notifyListener(listed.withState(EndpointStatus.State.UNREACHABLE))
          : listed;
    }

    private EndpointStatus notifyListener(EndpointStatus status) {
      if (lastLoggedState != status.state()) {
        lastLoggedState = status.state();
        log.record(
            EventType.ENDPOINT_CHANGED,
            status.id().toString(),
            Map.of("state", lastLoggedState.toString()));
      }
      listener.accept(status);
      return status;
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored")
  private static <T> void forward(CompletableFuture<T> from, CompletableFuture<T> to) {
    from.whenComplete(
        (value, thrown) -> {
          if (thrown == null) {
            to.complete(value);
          } else {
            to.completeExceptionally(thrown);
          }
        });
  }
}
