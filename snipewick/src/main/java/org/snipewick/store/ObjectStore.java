package org.snipewick.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's object store. */
public interface ObjectStore {

  /**
   * Reads an object.
   *
   * @param name name of the object
   * @return content, empty if it does not exist; fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE}
   */
  CompletableFuture<Optional<byte[]>> get(String name);

  /**
   * Stores an object, replacing what was there.
   *
   * @param name name of the object
   * @param content content
   * @return completes when stored; fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE}
   */
  CompletableFuture<Void> put(String name, byte[] content);
}
