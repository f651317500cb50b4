package org.snipewick.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's object store, which maps names to byte arrays. */
public interface ObjectStore {

  /**
   * Returns the content of an object.
   *
   * @param name name of the object
   * @return content, empty if the object does not exist; fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE} if it cannot be read
   */
  CompletableFuture<Optional<byte[]>> get(String name);

  /**
   * Stores an object, replacing any content it had.
   *
   * @param name name of the object
   * @param content content
   * @return future that completes when the object is stored; fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE}, with outcome {@link
   *     org.snipewick.failure.Outcome#UNKNOWN} if the object may have been stored
   */
  CompletableFuture<Void> put(String name, byte[] content);
}
