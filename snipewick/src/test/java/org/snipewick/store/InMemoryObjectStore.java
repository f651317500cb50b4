package org.snipewick.store;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;

/** Object store in memory that can be made unavailable. */
public final class InMemoryObjectStore implements ObjectStore {
  private final Map<String, byte[]> objects = new HashMap<>();
  private boolean unavailable;

  /** Sets whether all calls fail. */
  public void setUnavailable(boolean isUnavailable) {
    unavailable = isUnavailable;
  }

  @Override
  public CompletableFuture<Optional<byte[]>> get(String name) {
    return unavailable
        ? fail()
        : CompletableFuture.completedFuture(Optional.ofNullable(objects.get(name)));
  }

  @Override
  public CompletableFuture<Void> put(String name, byte[] content) {
    if (unavailable) {
      return fail();
    }
    objects.put(name, content.clone());
    return CompletableFuture.completedFuture(null);
  }

  private static <T> CompletableFuture<T> fail() {
    return CompletableFuture.failedFuture(
        Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "outage").toException());
  }
}
