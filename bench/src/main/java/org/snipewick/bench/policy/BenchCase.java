package org.snipewick.bench.policy;

import java.util.List;

/**
 * Conditions of a run.
 *
 * @param name name of the case
 * @param load offered load as a multiple of capacity
 * @param fault what happens in the middle of the run
 * @param reportLagMillis age of load reports, in milliseconds
 */
record BenchCase(String name, double load, Fault fault, long reportLagMillis) {
  static final long COUNT_END_MILLIS = 80_000;
  static final long WARM_UP_MILLIS = 30_000;
  static final long END_MILLIS = 150_000;
  static final long FAULT_MILLIS = 45_000;
  static final long FAULT_END_MILLIS = 65_000;
  private static final double BURST_FACTOR = 4;
  private static final long BURST_MILLIS = 8_000;

  /** What happens in the middle of a run. */
  enum Fault {
    NONE,
    BURST,
    STRAGGLER,
    KILL,
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

  double loadAt(long millis) {
    boolean burst =
        fault == Fault.BURST && millis >= FAULT_MILLIS && millis < FAULT_MILLIS + BURST_MILLIS;
    return burst ? load * BURST_FACTOR : load;
  }
}
