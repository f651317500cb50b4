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

/** Access to the store: its parts share one client, retry budget and circuit breaker. */
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
    Reads reads = new Reads(settings, timer, circuit, retries);
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
    table = tableWithRate.apply(() -> shares.get().direct());
    writerTable = tableWithRate.apply(() -> shares.get().writerOrDirect());
    objects = new StoreObjects(calls, reads, timer, circuit, retries);
    StoreInstances list = new StoreInstances(adapter, calls, reads, events);
    instances = LoggingInstanceList.of(list, timer, events);
    weights = new StoreWeights(calls, reads);
  }

  /**
   * Creates the access to a platform; nothing is sent yet.
   *
   * @param adapter adapter to the platform
   * @param settings address and limits
   * @param timer source of time, on the system clock
   * @param events log that gets the loss and return of the platform
   * @param random randomness for jitter, safe for use by several threads
   * @return access to the platform
   */
  public static StoreAccess of(
      StoreAdapter adapter,
      StoreSettings settings,
      TimerService timer,
      EventLog events,
      RandomGenerator random) {
    WriteShares alone = WriteShares.withoutWriters(settings, 1);
    return of(adapter, settings, timer, events, random, () -> alone);
  }

  /**
   * Creates the access to a platform that several instances share.
   *
   * @param adapter adapter to the platform
   * @param settings address and limits
   * @param timer source of time, on the system clock
   * @param events log that gets the loss and return of the platform
   * @param random randomness for jitter, safe for use by several threads
   * @param shares shares of this instance in the rate of writes, by the instances now known
   * @return access to the platform
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

  /** Ends the calls; those in flight may stay unanswered. */
  @Override
  public void close() {
    calls.close();
  }
}
