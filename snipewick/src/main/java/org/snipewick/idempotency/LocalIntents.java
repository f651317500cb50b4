package org.snipewick.idempotency;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.snipewick.identity.RequestId;
import org.snipewick.time.TimerService;

/** Intents written by this process, and the tokens of those that were never dispatched. */
final class LocalIntents {
  private static final int MAX_RELEASED_TOKENS = 100_000;
  private static final Duration RELEASED_TOKEN_RETENTION = Duration.ofHours(1);

  private final ConcurrentMap<RequestId, LocalIntent> unfinished = new ConcurrentHashMap<>();
  private final Cache<String, Boolean> releasedTokens;

  private LocalIntents(TimerService timer) {
    this.releasedTokens =
        Caffeine.newBuilder()
            .maximumSize(MAX_RELEASED_TOKENS)
            .expireAfterWrite(RELEASED_TOKEN_RETENTION)
            .ticker(timer::nanoTime)
            .executor(Runnable::run)
            .build();
  }

  static LocalIntents of(TimerService timer) {
    return new LocalIntents(timer);
  }

  void add(RequestId request, LocalIntent intent) {
    unfinished.put(request, intent);
  }

  Optional<LocalIntent> find(RequestId request) {
    return Optional.ofNullable(unfinished.get(request));
  }

  void remove(RequestId request) {
    unfinished.remove(request);
  }

  void markReleased(String token) {
    releasedTokens.put(token, true);
  }

  /**
   * Returns whether a token belongs to a row of this process whose request was not and will not be
   * dispatched.
   */
  boolean isReleased(String token) {
    return releasedTokens.getIfPresent(token) != null;
  }

  /**
   * Row of a request that may be dispatched.
   *
   * @param row the row
   * @param version version of the row in the table
   * @param insertWasAmbiguous whether an attempt of its insertion had an unknown outcome, so that
   *     it may still take effect
   */
  record LocalIntent(IntentRow row, long version, boolean insertWasAmbiguous) {}
}
