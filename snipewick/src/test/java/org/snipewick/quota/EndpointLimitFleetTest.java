package org.snipewick.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.fleet.EndpointLimit;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.TeamName;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.route.TeamPlan;
import org.snipewick.route.TeamQuota;
import org.snipewick.time.VirtualTimerService;

/**
 * Plays instances that learn the limit of one endpoint by its responses and by each other's
 * reports, while entries lapse, listed starts are late and instances freeze.
 */
class EndpointLimitFleetTest {
  private static final EndpointId ENDPOINT = EndpointId.of("engine-7");
  private static final Duration STEP = Duration.ofMillis(20);
  private static final double REQUESTS_PER_STEP = 1.2;
  private static final Duration GRACE = Duration.ofSeconds(3);
  private static final Duration TOLD = Duration.ofMillis(500);
  private static final Duration WINDOW = Duration.ofSeconds(4);
  private static final Duration RESPONSE_TIME = Duration.ofMillis(600);
  private static final Duration MAX_WAIT = Duration.ofMillis(1_200);
  private static final int MAX_IN_FLIGHT = 20;

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final Map<InstanceId, EndpointLimits> limits = new HashMap<>();
  private final Map<InstanceId, Long> toldNanos = new HashMap<>();
  private final Map<InstanceId, Long> excusedUntilNanos = new HashMap<>();
  private final Map<InstanceId, List<Runnable>> receivedWhileFrozen = new HashMap<>();
  private final Map<InstanceId, Long> waitingUntilNanos = new HashMap<>();
  private final List<Long> arrivals = new ArrayList<>();
  private QuotaFleet fleet;
  private SplittableRandom random;
  private int lagMillis;
  private double limit;
  private List<InstanceId> instances;
  private boolean isNamed;
  private long namedNanos;
  private boolean isListed = true;
  private long startedEpochMillis = 1;
  private int inFlight;
  private int sent;

  /** Guards against a limit that is forgotten while the endpoint's entry is missing. */
  @ParameterizedTest
  @CsvSource({"8, 200, 2, 1", "8, 200, 0.5, 2", "59, 510, 2, 1", "340, 700, 2, 1"})
  void shouldKeepLimitWhenEntryLapsesAndReturns(int count, int lag, double named, int seed) {
    start(count, lag, named, seed);
    nameLimit();
    play(10);
    for (int spell = 0; spell < 3; spell++) {
      setListed(false);
      play(4);
      setListed(true);
      play(4);
    }
    assertThat(maxInWindow()).isLessThanOrEqualTo(1.5 * 4 * limit + 5);
    assertThat(sent).isGreaterThan((int) (0.4 * limit * 22));
  }

  /** Guards against a limit of the new process that ends when its start is listed late. */
  @ParameterizedTest
  @CsvSource({"8, 200, 2, 1", "8, 200, 0.5, 2", "59, 510, 2, 1", "340, 700, 0.5, 1"})
  void shouldKeepLimitWhenStartIsListedLate(int count, int lag, double named, int seed) {
    start(count, lag, named, seed);
    nameLimit();
    play(10);
    for (int spell = 0; spell < 3; spell++) {
      startedEpochMillis++;
      setListed(true);
      play(8);
    }
    assertThat(maxInWindow()).isLessThanOrEqualTo(1.5 * 4 * limit + 5);
  }

  /** Guards against responses from before the limit, read late by an instance that was frozen. */
  @ParameterizedTest
  @CsvSource({"8, 200, 2, 1", "8, 200, 0.5, 2", "59, 510, 2, 1", "340, 700, 0.5, 1"})
  void shouldKeepLimitWhenFrozenInstanceReadsEarlierResponses(
      int count, int lag, double named, int seed) {
    start(count, lag, named, seed);
    play(6);
    InstanceId frozen = instances.get(1);
    send(frozen);
    freeze(frozen);
    play(1);
    nameLimit();
    play(20);
    wake(frozen);
    play(10);
    assertThat(maxInWindow()).isLessThanOrEqualTo(1.5 * 4 * limit + 5);
  }

  /** Guards against a limit that outlasts its last naming because its end is never believed. */
  @ParameterizedTest
  @CsvSource({"8, 200, 2, 1", "8, 200, 0.5, 2", "59, 510, 2, 1", "340, 700, 0.5, 1"})
  void shouldEndLimitEverywhereWhenEndpointNamesItNoMore(
      int count, int lag, double named, int seed) {
    start(count, lag, named, seed);
    nameLimit();
    play(10);
    isNamed = false;
    play(10);
    assertThat(limits.values()).allMatch(each -> each.limit(ENDPOINT).isEmpty());
  }

  private void start(int count, int lag, double named, int seed) {
    limit = named;
    random = new SplittableRandom(seed);
    lagMillis = lag;
    instances = IntStream.range(0, count).mapToObj(number -> InstanceId.of("i" + number)).toList();
    TeamPlan team =
        new TeamPlan(
            TeamName.of("t"), Set.of("k"), Optional.empty(), new TeamQuota(1_000, 1, true, 200));
    fleet =
        new QuotaFleet(
            timer, random, new QuotaBounds(Duration.ofSeconds(8), 0.1, 1_000), team, 4, lag);
    instances.forEach(instance -> limits.put(instance, EndpointLimits.empty()));
    fleet.setLimitsByInstance((instance, endpoint) -> limits.get(instance).limit(endpoint));
    instances.forEach(fleet::start);
    setListed(true);
    timer.every(Duration.ofMillis(lag), this::exchangeReports);
    timer.advance(Duration.ofSeconds(15));
  }

  /** Lets the endpoint name its limit in all responses from now on. */
  private void nameLimit() {
    isNamed = true;
    namedNanos = timer.nanoTime();
  }

  private void setListed(boolean changed) {
    isListed = changed;
    List<RegisteredEndpoint> listed =
        isListed
            ? List.of(
                new RegisteredEndpoint(
                    ENDPOINT,
                    startedEpochMillis,
                    PoolName.of("p"),
                    FailureDomain.of("d"),
                    "127.0.0.1",
                    1,
                    MAX_IN_FLIGHT,
                    false))
            : List.of();
    limits.values().forEach(each -> each.retain(listed, timer.nanoTime()));
  }

  /** Delivers the latest statements of all instances after the lag. */
  private void exchangeReports() {
    Map<InstanceId, EndpointLimit> reported = new HashMap<>();
    for (InstanceId instance : instances) {
      if (!receivedWhileFrozen.containsKey(instance)) {
        Optional.ofNullable(limits.get(instance).reported(timer.nanoTime()).get(ENDPOINT))
            .ifPresent(limit -> reported.put(instance, limit));
      }
    }
    Optional<EndpointLimit> latest =
        reported.values().stream()
            .min((one, other) -> Long.compare(one.ageMillis(), other.ageMillis()));
    latest.ifPresent(
        limit ->
            timer.after(
                Duration.ofMillis(lagMillis),
                () ->
                    instances.forEach(
                        instance -> deliver(instance, () -> adopt(instance, limit)))));
  }

  private void adopt(InstanceId instance, EndpointLimit sent) {
    EndpointLimit aged = new EndpointLimit(sent.requestsPerSecond(), sent.ageMillis() + lagMillis);
    limits.get(instance).adopt(ENDPOINT, aged, timer.nanoTime());
  }

  private void deliver(InstanceId instance, Runnable task) {
    List<Runnable> delayed = receivedWhileFrozen.get(instance);
    if (delayed == null) {
      task.run();
    } else {
      delayed.add(task);
    }
  }

  private void freeze(InstanceId instance) {
    fleet.freeze(instance);
    receivedWhileFrozen.put(instance, new ArrayList<>());
    excusedUntilNanos.put(instance, Long.MAX_VALUE);
  }

  /** Reads first what arrived last, as the order of reading from several sockets is not defined. */
  private void wake(InstanceId instance) {
    fleet.wake(instance);
    List<Runnable> delayed = receivedWhileFrozen.remove(instance);
    for (int index = delayed.size() - 1; index >= 0; index--) {
      delayed.get(index).run();
    }
  }

  /** Requests arrive at random instances and wait there for a while for a permit. */
  private void play(int seconds) {
    long endNanos = timer.nanoTime() + Duration.ofSeconds(seconds).toNanos();
    while (timer.nanoTime() < endNanos) {
      for (double expected = REQUESTS_PER_STEP; expected > 0; expected--) {
        if (random.nextDouble() < expected) {
          waitingUntilNanos.put(
              instances.get(random.nextInt(instances.size())),
              timer.nanoTime() + MAX_WAIT.toNanos());
        }
      }
      place();
      timer.advance(STEP);
    }
  }

  private void place() {
    waitingUntilNanos.values().removeIf(until -> until < timer.nanoTime());
    for (InstanceId instance : List.copyOf(waitingUntilNanos.keySet())) {
      if (isListed
          && inFlight < MAX_IN_FLIGHT
          && !receivedWhileFrozen.containsKey(instance)
          && fleet.permits(instance).isAvailable(ENDPOINT, timer.nanoTime())) {
        fleet.permits(instance).use(ENDPOINT, timer.nanoTime());
        waitingUntilNanos.remove(instance);
        send(instance);
      }
    }
  }

  private void send(InstanceId instance) {
    long sentNanos = timer.nanoTime();
    boolean isTold = toldNanos.getOrDefault(instance, Long.MAX_VALUE) <= sentNanos - TOLD.toNanos();
    boolean isCounted =
        isNamed
            && isTold
            && sentNanos - namedNanos >= GRACE.toNanos()
            && excusedUntilNanos.getOrDefault(instance, 0L) <= sentNanos;
    if (isCounted) {
      arrivals.add(sentNanos);
    }
    sent++;
    inFlight++;
    OptionalDouble named = isNamed ? OptionalDouble.of(limit) : OptionalDouble.empty();
    timer.after(
        RESPONSE_TIME,
        () -> {
          inFlight--;
          deliver(instance, () -> respond(instance, named, sentNanos));
        });
  }

  private void respond(InstanceId instance, OptionalDouble named, long sentNanos) {
    limits.get(instance).update(ENDPOINT, named, sentNanos, timer.nanoTime());
    if (named.isPresent()) {
      toldNanos.putIfAbsent(instance, timer.nanoTime());
    }
  }

  private double maxInWindow() {
    int max = 0;
    int first = 0;
    for (int last = 0; last < arrivals.size(); last++) {
      while (arrivals.get(last) - arrivals.get(first) >= WINDOW.toNanos()) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }
}
