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
 * Polls the load reports of the endpoints that this instance schedules, and tells what each report
 * means. An endpoint that does not answer several times in a row is unreachable until it answers.
 * Up to ten endpoints are read once a period, more of them once in two periods, so that an endpoint
 * that reports its leaving gets nothing new soon after, however large the pool is.
 */
public final class LoadReports implements AutoCloseable {
  /** Time between two reports of an endpoint, in milliseconds. */
  public static final long DEFAULT_PERIOD_MILLIS = 1000;

  private static final int FAILURES_UNTIL_UNREACHABLE = 2;
  private static final int READ_EACH_PERIOD = 10;
  private static final int LONGEST_INTERVAL_PERIODS = 2;
  private static final int TICKS_PER_PERIOD = 4;

  private final LoadReportClient client;
  private final ScheduledEndpoints endpoints;
  private final Consumer<EndpointStatus> updates;
  private final TimerService timer;
  private final EventLog log;
  private final Duration timeout;
  private final Map<EndpointId, Watch> watches = new ConcurrentHashMap<>();
  private final TimerService.Subscription polling;
  private double due;
  private long reads;

  private LoadReports(
      LoadReportClient client,
      ScheduledEndpoints endpoints,
      Consumer<EndpointStatus> updates,
      TimerService timer,
      EventLog log,
      Duration period) {
    this.client = client;
    this.endpoints = endpoints;
    this.updates = updates;
    this.timer = timer;
    this.log = log;
    this.timeout = period;
    this.polling = timer.every(period.dividedBy(TICKS_PER_PERIOD), this::poll);
  }

  /**
   * Starts to poll.
   *
   * @param client reads reports
   * @param endpoints endpoints that this instance schedules; asked at each poll
   * @param updates gets the status of an endpoint after each report, and when it becomes
   *     unreachable; called on threads of the client and of the timer
   * @param timer source of time
   * @param log event log
   * @param period time between two reports of an endpoint, and longest time for one to arrive
   * @return running poll
   */
  public static LoadReports start(
      LoadReportClient client,
      ScheduledEndpoints endpoints,
      Consumer<EndpointStatus> updates,
      TimerService timer,
      EventLog log,
      Duration period) {
    return new LoadReports(
        requireNonNull(client, "client"),
        requireNonNull(endpoints, "endpoints"),
        requireNonNull(updates, "updates"),
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
    watches.keySet().retainAll(scheduled);
    scheduled.forEach(id -> watches.computeIfAbsent(id, Watch::new));
    due += (double) readsPerPeriod(scheduled.size()) / TICKS_PER_PERIOD;
    int count = (int) due;
    due -= count;
    watches.values().stream()
        .sorted(Watch.LONGEST_AGO_FIRST)
        .limit(count)
        .forEach(watch -> watch.read(current.get(watch.id), ++reads));
  }

  private static int readsPerPeriod(int endpoints) {
    int part = (endpoints + LONGEST_INTERVAL_PERIODS - 1) / LONGEST_INTERVAL_PERIODS;
    return Math.max(Math.min(endpoints, READ_EACH_PERIOD), part);
  }

  /** Reports of one endpoint. */
  private final class Watch {
    private static final Comparator<Watch> LONGEST_AGO_FIRST =
        Comparator.<Watch>comparingLong(watch -> watch.lastRead)
            .thenComparing(watch -> watch.id.value());

    private final EndpointId id;
    private final AtomicBoolean reading = new AtomicBoolean();
    private long lastRead;
    private int failures;
    private EndpointStatus.State told;

    Watch(EndpointId id) {
      this.id = id;
    }

    void read(EndpointStatus known, long number) {
      lastRead = number;
      if (!reading.compareAndSet(false, true)) {
        return;
      }
      CompletableFuture<LoadReport> report = client.read(known);
      CompletableFuture<LoadReport> inTime = new CompletableFuture<>();
      TimerService.Subscription expiry = timer.after(timeout, () -> inTime.cancel(false));
      copy(report, inTime);
      copy(
          inTime.handle(
              (arrived, thrown) -> {
                expiry.cancel();
                reading.set(false);
                return thrown == null ? succeeded(arrived.applyTo(known)) : failed(known);
              }),
          new CompletableFuture<>());
    }

    private synchronized EndpointStatus succeeded(EndpointStatus status) {
      failures = 0;
      return tell(status);
    }

    private synchronized EndpointStatus failed(EndpointStatus known) {
      failures++;
      return failures >= FAILURES_UNTIL_UNREACHABLE
          ? tell(known.withState(EndpointStatus.State.UNREACHABLE))
          : known;
    }

    private EndpointStatus tell(EndpointStatus status) {
      if (told != status.state()) {
        told = status.state();
        log.record(
            EventType.ENDPOINT_CHANGED, status.id().toString(), Map.of("state", told.toString()));
      }
      updates.accept(status);
      return status;
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored")
  private static <T> void copy(CompletableFuture<T> from, CompletableFuture<T> to) {
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
