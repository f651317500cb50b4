package org.snipewick.bench.policy;

/** A policy that is measured: receives requests on arrival and starts them on engines. */
interface Dispatcher {

  /** Receives a request at the entry instance that its identifier names. */
  void onArrival(Workload.Request request);

  /** Called when an entry instance is killed; its requests are lost. */
  default void onKilled(String entry) {}

  /** Called when the first failure domain is cut off from the others or connected again. */
  default void onCut(boolean isCut) {}
}
