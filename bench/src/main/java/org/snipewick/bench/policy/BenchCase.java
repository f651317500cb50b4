package org.snipewick.bench.policy;

import java.util.List;

/**
 * Conditions of a run. Times within a run are counted from its start.
 *
 * @param name name of the case
 * @param load offered load as a multiple of the requests per second that all engines can serve
 * @param fault what happens in the middle of the run
 * @param reportLagMillis interval between load reports, in milliseconds
 */
record BenchCase(String name, double load, Fault fault, long reportLagMillis) {
  static final long MEASUREMENT_END_MILLIS = 80_000;

  /** Requests that arrive from here on until {@link #MEASUREMENT_END_MILLIS} are measured. */
  static final long WARM_UP_MILLIS = 30_000;

  /** No request arrives from here on. */
  static final long END_MILLIS = 150_000;

  static final long FAULT_START_MILLIS = 45_000;
  static final long FAULT_END_MILLIS = 65_000;
  private static final double BURST_FACTOR = 4;
  private static final long BURST_MILLIS = 8_000;

  /** Fault in the middle of a run. */
  enum Fault {
    NONE,
    /** The load is multiplied for a while. */
    BURST,
    /** One engine is slowed down. */
    STRAGGLER,
    /** The entry instance that schedules the first failure domain is killed. */
    KILL,
    /** The first failure domain is cut off from the others. */
    CUT
  }

  static List<BenchCase> all() {
    return List.of(
        new BenchCase("load-0.7", 0.7, Fault.NONE, 1_000),
        new BenchCase("load-1.0", 1.0, Fault.NONE, 1_000),
        new BenchCase("load-1.5", 1.5, Fault.NONE, 1_000),
        new BenchCase("load-2.5", 2.5, Fault.NONE, 1_000),
        new BenchCase("burst", 0.7, Fault.BURST, 1_000),
        new BenchCase("straggler", 0.8, Fault.STRAGGLER, 1_000),
        new BenchCase("reports-0.1s", 1.0, Fault.NONE, 100),
        new BenchCase("reports-5s", 1.0, Fault.NONE, 5_000),
        new BenchCase("killed", 0.9, Fault.KILL, 1_000),
        new BenchCase("cut", 0.9, Fault.CUT, 1_000));
  }

  /** Returns the offered load at a time, with the burst if there is one then. */
  double loadAt(long millis) {
    boolean burst =
        fault == Fault.BURST
            && millis >= FAULT_START_MILLIS
            && millis < FAULT_START_MILLIS + BURST_MILLIS;
    return burst ? load * BURST_FACTOR : load;
  }
}
