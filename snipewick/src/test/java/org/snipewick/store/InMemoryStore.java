package org.snipewick.store;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;

/** Object store in memory that can be down. */
public final class InMemoryStore implements ObjectStore {
  private final Map<String, byte[]> objects = new HashMap<>();
  private boolean down;

  /** Makes all calls fail or succeed. */
  public void down(boolean changed) {
    down = changed;
  }

  @Override
  public CompletableFuture<Optional<byte[]>> get(String name) {
    return down
        ? unavailable()
        : CompletableFuture.completedFuture(Optional.ofNullable(objects.get(name)));
  }

  @Override
  public CompletableFuture<Void> put(String name, byte[] content) {
    if (down) {
      return unavailable();
    }
    objects.put(name, content.clone());
    return CompletableFuture.completedFuture(null);
  }

  private static <T> CompletableFuture<T> unavailable() {
    return CompletableFuture.failedFuture(
        Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "outage").toException());
  }
}
