package org.snipewick.standins.engine;

import io.activej.eventloop.Eventloop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Continuous batch: prefills one request at a time, in order of admission, and decodes all running
 * requests in parallel.
 */
final class Batch {
  private static final double MILLIS_PER_SECOND = 1000;

  private final Eventloop eventloop;
  private final EngineSettings settings;
  private final DoubleSupplier slowFactor;
  private final PrefixCache cache;
  private final Deque<Generation> queue = new ArrayDeque<>();
  private final Map<Generation, BatchEntry> running = new HashMap<>();

  /** Time at which the scheduled prefills of all admitted requests end. */
  private double prefillFreeFromEpochMillis;

  /**
   * State of one admission of a request to the batch. Scheduled steps of an earlier admission have
   * no effect.
   */
  private static final class BatchEntry {
    private double prefillStartEpochMillis;
    private double prefillMillis;
    private boolean isPrefilled;
    private double nextTokenEpochMillis;
  }

  Batch(
      Eventloop eventloop, EngineSettings settings, DoubleSupplier slowFactor, PrefixCache cache) {
    this.eventloop = eventloop;
    this.settings = settings;
    this.slowFactor = slowFactor;
    this.cache = cache;
  }

  int running() {
    return running.size();
  }

  int queued() {
    return queue.size();
  }

  int usedKvTokens() {
    return running.keySet().stream().mapToInt(Generation::usedKvTokens).sum();
  }

  void add(Generation generation) {
    queue.add(generation);
    admit();
  }

  /**
   * Removes a request, queued or running. The part of its prefill that has been done so far counts
   * as prefilled.
   */
  void remove(Generation generation) {
    queue.remove(generation);
    BatchEntry entry = running.remove(generation);
    if (entry != null && !entry.isPrefilled) {
      double elapsedMillis = eventloop.currentTimeMillis() - entry.prefillStartEpochMillis;
      double prefilledShare =
          Math.min(1, Math.max(0, elapsedMillis / Math.max(1, entry.prefillMillis)));
      generation.addPrefilledTokens(generation.remainingPrefillTokens() * prefilledShare);
    }
    admit();
  }

  private void admit() {
    while (!queue.isEmpty()
        && running.size() < settings.maxInFlight()
        && fitsIntoKvCache(queue.peek())) {
      start(queue.remove());
    }
  }

  private boolean fitsIntoKvCache(Generation next) {
    int reservedTokens = running.keySet().stream().mapToInt(Generation::maxKvTokens).sum();
    return reservedTokens + next.maxKvTokens() <= settings.kvTokens();
  }

  private void start(Generation generation) {
    BatchEntry entry = new BatchEntry();
    running.put(generation, entry);
    if (generation.events().isEmpty() && generation.prefilledTokens() == 0) {
      int matchedBlocks = cache.match(generation.request().blockHashes());
      int matchedTokens = matchedBlocks * ChatRequest.BLOCK_TOKENS;
      generation.setCachedTokens(Math.min(matchedTokens, generation.request().promptTokens() - 1));
    }
    long nowEpochMillis = eventloop.currentTimeMillis();
    double tokensPerMilli = settings.prefillTokensPerSecond() / MILLIS_PER_SECOND;
    entry.prefillMillis =
        generation.remainingPrefillTokens() / tokensPerMilli * slowFactor.getAsDouble();
    entry.prefillStartEpochMillis = Math.max(nowEpochMillis, prefillFreeFromEpochMillis);
    prefillFreeFromEpochMillis = entry.prefillStartEpochMillis + entry.prefillMillis;
    scheduleAt(prefillFreeFromEpochMillis, () -> endPrefill(generation, entry));
  }

  private void endPrefill(Generation generation, BatchEntry entry) {
    if (running.get(generation) != entry) {
      return;
    }
    entry.isPrefilled = true;
    generation.addPrefilledTokens(generation.remainingPrefillTokens());
    List<Long> hashes = generation.request().blockHashes();
    cache.store(hashes, eventloop.currentTimeMillis());
    entry.nextTokenEpochMillis = eventloop.currentTimeMillis();
    scheduleDecode(generation, entry);
  }

  private void scheduleDecode(Generation generation, BatchEntry entry) {
    double stepMillis = settings.decodeMillisPerToken() * slowFactor.getAsDouble();
    entry.nextTokenEpochMillis =
        Math.max(entry.nextTokenEpochMillis + stepMillis, eventloop.currentTimeMillis());
    scheduleAt(entry.nextTokenEpochMillis, () -> decode(generation, entry));
  }

  private void decode(Generation generation, BatchEntry entry) {
    if (running.get(generation) != entry) {
      return;
    }
    generation.addToken();
    if (generation.isFinished()) {
      running.remove(generation);
      admit();
    } else {
      scheduleDecode(generation, entry);
    }
  }

  private void scheduleAt(double epochMillis, Runnable task) {
    eventloop.schedule(Math.round(epochMillis), task);
  }
}
