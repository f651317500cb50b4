package org.snipewick.store.http;

import static java.util.Objects.requireNonNull;

import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.store.InstanceList;
import org.snipewick.store.ObjectStore;
import org.snipewick.store.PlatformHealth;
import org.snipewick.store.Table;
import org.snipewick.store.WatchedInstanceList;
import org.snipewick.store.WeightStore;
import org.snipewick.time.TimerService;

/** The platform over HTTP: its services share one client, retry budget and circuit breaker. */
public final class HttpPlatform implements AutoCloseable {
  private static final String PROBE = "/table/probe";

  private final Transport transport;
  private final CircuitBreaker circuit;
  private final HttpTable table;
  private final HttpTable writerTable;
  private final HttpObjectStore objects;
  private final InstanceList instances;
  private final HttpWeightStore weights;

  private HttpPlatform(
      PlatformSettings settings,
      TimerService timer,
      EventLog events,
      RandomGenerator random,
      Supplier<WriteShares> shares) {
    transport = Transport.of(settings);
    circuit =
        new CircuitBreaker(settings.circuit(), timer, events, random, () -> transport.get(PROBE));
    RetryPolicy retries = new RetryPolicy(settings.retry(), random);
    Reads reads = new Reads(settings, transport, timer, circuit, retries);
    Parsing parsing = new Parsing(circuit);
    Function<DoubleSupplier, HttpTable> tableWithRate =
        rate ->
            new HttpTable(
                reads,
                new WriteBatcher(settings, transport::send, timer, circuit, retries, rate),
                parsing);
    table = tableWithRate.apply(() -> shares.get().direct());
    writerTable = tableWithRate.apply(() -> shares.get().writerOrDirect());
    objects = new HttpObjectStore(reads, transport, timer, circuit, retries);
    instances = WatchedInstanceList.of(new HttpInstanceList(reads, parsing), timer, events);
    weights = new HttpWeightStore(reads);
  }

  /**
   * Creates the access to a platform; nothing is sent yet.
   *
   * @param settings address and limits
   * @param timer source of time, on the system clock
   * @param events log that gets the loss and return of the platform
   * @param random randomness for jitter, safe for use by several threads
   * @return access to the platform
   */
  public static HttpPlatform of(
      PlatformSettings settings, TimerService timer, EventLog events, RandomGenerator random) {
    WriteShares alone = WriteShares.withoutWriters(settings, 1);
    return of(settings, timer, events, random, () -> alone);
  }

  /**
   * Creates the access to a platform that several instances share.
   *
   * @param settings address and limits
   * @param timer source of time, on the system clock
   * @param events log that gets the loss and return of the platform
   * @param random randomness for jitter, safe for use by several threads
   * @param shares shares of this instance in the rate of writes, by the instances now known
   * @return access to the platform
   */
  public static HttpPlatform of(
      PlatformSettings settings,
      TimerService timer,
      EventLog events,
      RandomGenerator random,
      Supplier<WriteShares> shares) {
    requireNonNull(settings, "settings");
    requireNonNull(shares, "shares");
    return new HttpPlatform(settings, timer, events, random, shares);
  }

  /**
   * Returns the table.
   *
   * @return table
   */
  public Table table() {
    return table;
  }

  /**
   * Returns the table for the writes that this instance sends as writer of its failure domain.
   *
   * @return table with the writer's share of the rate
   */
  public Table writerTable() {
    return writerTable;
  }

  /**
   * Returns the object store.
   *
   * @return object store
   */
  public ObjectStore objects() {
    return objects;
  }

  /**
   * Returns the list of instances.
   *
   * @return list of instances
   */
  public InstanceList instances() {
    return instances;
  }

  /**
   * Returns the store of weights.
   *
   * @return weight store
   */
  public WeightStore weights() {
    return weights;
  }

  /**
   * Returns the health of the platform as seen from here.
   *
   * @return health
   */
  public PlatformHealth health() {
    return circuit;
  }

  /** Ends the client's threads; calls in flight may stay unanswered. */
  @Override
  public void close() {
    transport.close();
  }
}
