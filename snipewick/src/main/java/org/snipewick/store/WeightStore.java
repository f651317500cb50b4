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
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE}, outcome {@link
   *     org.snipewick.failure.Outcome#NOT_RUN} and a time after which to retry if the store does
   *     not respond or its read rate is exceeded
   */
  CompletableFuture<Boolean> contains(String name);
}
