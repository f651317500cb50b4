package org.snipewick.store;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's store of model weights. It serves few reads per second, most of them to engines.
 */
public interface WeightStore {

  /**
   * Returns whether the store has weights of a name, without reading them.
   *
   * @param name name of a model, an adapter or a version
   * @return whether they exist; fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE}, outcome "not run" and a time after
   *     which to retry, also if the store is over its rate
   */
  CompletableFuture<Boolean> contains(String name);
}
