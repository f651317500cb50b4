package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

/**
 * Settings of the client of the platform's store.
 *
 * @param host IP address
 * @param port TCP port
 * @param timeoutMillis time after which a call times out, in milliseconds
 * @param writesPerSecond maximum write calls per second of this instance; a batch is one call
 * @param allWritesPerSecond maximum write calls per second of all instances together
 * @param readsPerSecond maximum read calls per second of this instance
 * @param batching how writes share a call
 * @param retry how failed calls are retried
 * @param circuit when the circuit breaker opens and probes
 */
public record StoreSettings(
    String host,
    int port,
    long timeoutMillis,
    double writesPerSecond,
    double allWritesPerSecond,
    double readsPerSecond,
    Batching batching,
    Retry retry,
    Circuit circuit) {
  private static final int MAX_PORT = 65_535;
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final double WRITES_PER_SECOND = 40;

  /** Four fifths of the transactions per second that the store allows on one partition. */
  private static final double ALL_WRITES_PER_SECOND = 160;

  private static final double READS_PER_SECOND = 200;

  /** Checks that the values are in range. */
  public StoreSettings {
    requireNonNull(host, "host");
    requireNonNull(batching, "batching");
    requireNonNull(retry, "retry");
    requireNonNull(circuit, "circuit");
    check(port > 0 && port <= MAX_PORT, "port");
    check(timeoutMillis > 0, "timeoutMillis");
    check(writesPerSecond > 0, "writesPerSecond");
    check(allWritesPerSecond > 0, "allWritesPerSecond");
    check(readsPerSecond > 0, "readsPerSecond");
  }

  /**
   * Returns the default settings for a platform.
   *
   * @param host IP address
   * @param port TCP port
   * @return settings
   */
  public static StoreSettings of(String host, int port) {
    return new StoreSettings(
        host,
        port,
        TIMEOUT_MILLIS,
        WRITES_PER_SECOND,
        ALL_WRITES_PER_SECOND,
        READS_PER_SECOND,
        Batching.defaults(),
        Retry.defaults(),
        Circuit.defaults());
  }

  /**
   * Returns these settings with another timeout.
   *
   * @param millis timeout in milliseconds, positive
   * @return changed copy
   */
  public StoreSettings withTimeoutMillis(long millis) {
    return new StoreSettings(
        host,
        port,
        millis,
        writesPerSecond,
        allWritesPerSecond,
        readsPerSecond,
        batching,
        retry,
        circuit);
  }

  /**
   * Returns these settings with other rates.
   *
   * @param writes write calls per second of this instance, positive
   * @param reads read calls per second of this instance, positive
   * @return changed copy
   */
  public StoreSettings withRates(double writes, double reads) {
    return new StoreSettings(
        host, port, timeoutMillis, writes, allWritesPerSecond, reads, batching, retry, circuit);
  }

  /**
   * Returns these settings with another write rate of all instances together.
   *
   * @param writes write calls per second of all instances together, positive
   * @return changed copy
   */
  public StoreSettings withAllWritesPerSecond(double writes) {
    return new StoreSettings(
        host,
        port,
        timeoutMillis,
        writesPerSecond,
        writes,
        readsPerSecond,
        batching,
        retry,
        circuit);
  }

  /** Returns the write calls per second of each instance if several share the platform. */
  double instanceWritesPerSecond(int instances) {
    return Math.min(writesPerSecond, allWritesPerSecond / Math.max(1, instances));
  }

  /**
   * Returns these settings with other settings of batching.
   *
   * @param changed how writes share a call
   * @return changed copy
   */
  public StoreSettings withBatching(Batching changed) {
    return new StoreSettings(
        host,
        port,
        timeoutMillis,
        writesPerSecond,
        allWritesPerSecond,
        readsPerSecond,
        changed,
        retry,
        circuit);
  }

  /**
   * Returns these settings with other settings of retries.
   *
   * @param changed how failed calls are retried
   * @return changed copy
   */
  public StoreSettings withRetry(Retry changed) {
    return new StoreSettings(
        host,
        port,
        timeoutMillis,
        writesPerSecond,
        allWritesPerSecond,
        readsPerSecond,
        batching,
        changed,
        circuit);
  }

  /**
   * Returns these settings with other settings of the circuit breaker.
   *
   * @param changed when the circuit breaker opens and probes
   * @return changed copy
   */
  public StoreSettings withCircuit(Circuit changed) {
    return new StoreSettings(
        host,
        port,
        timeoutMillis,
        writesPerSecond,
        allWritesPerSecond,
        readsPerSecond,
        batching,
        retry,
        changed);
  }

  private static void check(boolean isInRange, String name) {
    if (!isInRange) {
      throw new IllegalArgumentException("setting out of range: " + name);
    }
  }

  /**
   * Settings of batching: how writes share a call.
   *
   * @param maxRows maximum rows written in one call
   * @param lingerMillis time that the first write of a batch waits for others, in milliseconds
   * @param maxWaiting maximum number of queued writes; further ones are rejected
   */
  public record Batching(int maxRows, long lingerMillis, int maxWaiting) {
    /** The store accepts 100 entries per call; a conditional write takes two. */
    private static final int MAX_ROWS = 50;

    private static final long LINGER_MILLIS = 2;
    private static final int MAX_WAITING = 5_000;

    /** Checks that the values are in range. */
    public Batching {
      check(maxRows > 0, "maxRows");
      check(lingerMillis >= 0, "lingerMillis");
      check(maxWaiting > 0, "maxWaiting");
    }

    /**
     * Returns the default settings.
     *
     * @return settings
     */
    public static Batching defaults() {
      return new Batching(MAX_ROWS, LINGER_MILLIS, MAX_WAITING);
    }
  }

  /**
   * Settings of retries: exponential backoff with full jitter, within a retry budget.
   *
   * @param maxAttempts maximum attempts of one call, including the first
   * @param baseMillis maximum delay before the second attempt, in milliseconds
   * @param maxMillis maximum delay before any attempt, in milliseconds
   * @param budgetShare retries that each first attempt adds to the budget
   */
  public record Retry(int maxAttempts, long baseMillis, long maxMillis, double budgetShare) {
    private static final int MAX_ATTEMPTS = 3;
    private static final long BASE_MILLIS = 50;
    private static final long MAX_MILLIS = 1_000;
    private static final double BUDGET_SHARE = 0.2;

    /** Checks that the values are in range. */
    public Retry {
      check(maxAttempts > 0, "maxAttempts");
      check(baseMillis > 0, "baseMillis");
      check(maxMillis >= baseMillis, "maxMillis");
      check(budgetShare >= 0, "budgetShare");
    }

    /**
     * Returns the default settings.
     *
     * @return settings
     */
    public static Retry defaults() {
      return new Retry(MAX_ATTEMPTS, BASE_MILLIS, MAX_MILLIS, BUDGET_SHARE);
    }
  }

  /**
   * Settings of the circuit breaker: when calls fail at once instead of being sent.
   *
   * @param failuresToOpen consecutive failures after which calls fail at once
   * @param probeMillis mean time between probes, in milliseconds
   */
  public record Circuit(int failuresToOpen, long probeMillis) {
    private static final int FAILURES_TO_OPEN = 3;
    private static final long PROBE_MILLIS = 1_000;

    /** Checks that the values are in range. */
    public Circuit {
      check(failuresToOpen > 0, "failuresToOpen");
      check(probeMillis > 0, "probeMillis");
    }

    /**
     * Returns the default settings.
     *
     * @return settings
     */
    public static Circuit defaults() {
      return new Circuit(FAILURES_TO_OPEN, PROBE_MILLIS);
    }
  }
}
