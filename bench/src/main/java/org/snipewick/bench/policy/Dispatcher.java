package org.snipewick.bench.policy;

/** Policy under measurement: takes requests where they arrive and starts them at engines. */
interface Dispatcher {

  /** Takes a request at the entry instance that its identifier names. */
  void arrive(Workload.Request request);

  /** Learns that an entry instance is dead; its requests are gone. */
  default void killed(String entry) {}

  /** Learns that the first failure domain is cut off from the others, or no longer is. */
  default void cut(boolean isCut) {}
}
