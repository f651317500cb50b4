package org.snipewick.idempotency;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.snipewick.identity.RequestId;
import org.snipewick.time.TimerService;

/** Intents that this process wrote, and tokens of those that it gave up without dispatch. */
final class OwnIntents {
  private static final int MAX_RELEASED_TOKENS = 100_000;
  private static final Duration RELEASED_RETENTION = Duration.ofHours(1);

  private final ConcurrentMap<RequestId, Held> held = new ConcurrentHashMap<>();
  private final Cache<String, Boolean> released;

  private OwnIntents(TimerService timer) {
    this.released =
        Caffeine.newBuilder()
            .maximumSize(MAX_RELEASED_TOKENS)
            .expireAfterWrite(RELEASED_RETENTION)
            .ticker(timer::nanoTime)
            .executor(Runnable::run)
            .build();
  }

  static OwnIntents of(TimerService timer) {
    return new OwnIntents(timer);
  }

  void hold(RequestId request, Held intent) {
    held.put(request, intent);
  }

  Optional<Held> find(RequestId request) {
    return Optional.ofNullable(held.get(request));
  }

  void forget(RequestId request) {
    held.remove(request);
  }

  void release(String token) {
    released.put(token, true);
  }

  /** Tells whether a row of this process stands for a call that was not and will not be run. */
  boolean isReleased(String token) {
    return released.getIfPresent(token) != null;
  }

  /**
   * Row of a call that may be dispatched.
   *
   * @param row the row
   * @param version its version in the table
   * @param doubted whether another copy of its insertion may still arrive
   */
  record Held(IntentRow row, long version, boolean doubted) {}
}
