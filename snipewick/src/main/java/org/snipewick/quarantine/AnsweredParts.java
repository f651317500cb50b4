package org.snipewick.quarantine;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Optional;
import org.snipewick.time.TimerService;

/** Parts in requests that endpoints answered lately, with the time of the latest answer. */
final class AnsweredParts {
  /** Bounds the memory, as callers choose the parts. */
  private static final int MAX_PARTS = 20_000;

  private final TimerService timer;
  private final Cache<String, Long> answeredEpochMillis;

  AnsweredParts(TimerService timer) {
    this.timer = timer;
    this.answeredEpochMillis =
        Caffeine.newBuilder()
            .maximumSize(MAX_PARTS)
            .expireAfterWrite(Verdicts.ANSWER_VALIDITY)
            .ticker(timer::nanoTime)
            .executor(Runnable::run)
            .build();
  }

  void add(SharedParts parts) {
    long now = timer.epochMillis();
    parts.ids().forEach(part -> answeredEpochMillis.put(part, now));
  }

  boolean contains(String part) {
    return answeredEpochMillis.getIfPresent(part) != null;
  }

  Optional<Long> answeredEpochMillis(String part) {
    return Optional.ofNullable(answeredEpochMillis.getIfPresent(part));
  }
}
