package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.store.InstanceList;
import org.snipewick.store.LoggingInstanceList;
import org.snipewick.store.ObjectStore;
import org.snipewick.store.PlatformHealth;
import org.snipewick.store.Table;
import org.snipewick.store.WeightStore;
import org.snipewick.time.TimerService;

/**
 * Client of the platform's store. Tables, objects, weights and the list of instances share its
 * calls, retry budget and circuit breaker.
 */
public final class StoreAccess implements AutoCloseable {
  private final StoreCalls calls;
  private final CircuitBreaker circuit;
  private final StoreTable table;
  private final StoreTable writerTable;
  private final StoreObjects objects;
  private final InstanceList instances;
  private final StoreWeights weights;

  private StoreAccess(
      StoreAdapter adapter,
      StoreSettings settings,
      TimerService timer,
      EventLog events,
      RandomGenerator random,
      Supplier<WriteShares> shares) {
    calls = adapter.connect(settings);
    RowRange probe = RowRange.ofRow(StoreTable.NAME, "");
    circuit =
        new CircuitBreaker(settings.circuit(), timer, events, random, () -> calls.rows(probe));
    RetryPolicy retries = new RetryPolicy(settings.retry(), random);
    ReadCoalescer reads = new ReadCoalescer(settings, timer, circuit, retries);
    Function<DoubleSupplier, StoreTable> tableWithRate =
        rate ->
            new StoreTable(
                calls,
                reads,
                new WriteBatcher(
                    settings,
                    writes -> calls.transact(StoreTable.NAME, writes),
                    timer,
                    circuit,
                    retries,
                    rate));
    table = tableWithRate.apply(() -> shares.get().directPerSecond());
    writerTable = tableWithRate.apply(() -> shares.get().writerOrDirectPerSecond());
    objects = new StoreObjects(calls, reads, timer, circuit, retries);
    StoreInstances list = new StoreInstances(adapter, calls, reads, events);
    instances = LoggingInstanceList.of(list, timer, events);
    weights = new StoreWeights(calls, reads);
  }

  /**
   * Creates a client for a platform that only this instance uses; sends nothing yet.
   *
   * @param adapter adapter to the platform
   * @param settings address and limits
   * @param timer clock and timer, in real time
   * @param events log that records when the platform becomes unavailable and available again
   * @param random source of jitter, safe for use by several threads
   * @return client of the store
   */
  public static StoreAccess of(
      StoreAdapter adapter,
      StoreSettings settings,
      TimerService timer,
      EventLog events,
      RandomGenerator random) {
    WriteShares soleShares = WriteShares.withoutWriters(settings, 1);
    return of(adapter, settings, timer, events, random, () -> soleShares);
  }

  /**
   * Creates a client for a platform that several instances share; sends nothing yet.
   *
   * @param adapter adapter to the platform
   * @param settings address and limits
   * @param timer clock and timer, in real time
   * @param events log that records when the platform becomes unavailable and available again
   * @param random source of jitter, safe for use by several threads
   * @param shares returns this instance's current shares of the write rate, which depend on the
   *     known instances
   * @return client of the store
   */
  public static StoreAccess of(
      StoreAdapter adapter,
      StoreSettings settings,
      TimerService timer,
      EventLog events,
      RandomGenerator random,
      Supplier<WriteShares> shares) {
    requireNonNull(adapter, "adapter");
    requireNonNull(settings, "settings");
    requireNonNull(shares, "shares");
    return new StoreAccess(adapter, settings, timer, events, random, shares);
  }

  /**
   * Returns the table that all instances share.
   *
   * @return table with this instance's direct share of the rate
   */
  public Table table() {
    return table;
  }

  /**
   * Returns the same table for the writes that this instance sends as writer of its failure domain.
   *
   * @return table with the writer's share of the rate; the direct share if there are no writers
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
   * Returns the platform's list of instances.
   *
   * @return list that logs when it can no longer be read and when it can be again
   */
  public InstanceList instances() {
    return instances;
  }

  /**
   * Returns the store of model weights.
   *
   * @return store of model weights
   */
  public WeightStore weights() {
    return weights;
  }

  /**
   * Returns the availability of the platform to this instance.
   *
   * @return state of the circuit breaker
   */
  public PlatformHealth health() {
    return circuit;
  }

  /** Closes the connections; futures of calls in flight may never complete. */
  @Override
  public void close() {
    calls.close();
  }
}
