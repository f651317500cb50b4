package org.snipewick.store;

import java.util.concurrent.CompletableFuture;

/** The platform's store of weights, which serves few reads a second and mostly engines. */
public interface WeightStore {

  /**
   * Tells whether the store has weights, without reading them.
   *
   * @param name model, adapter or version
   * @return whether they exist; fails as not run with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE} and a time to come back, also if
   *     the store is over its rate
   */
  CompletableFuture<Boolean> contains(String name);
}
