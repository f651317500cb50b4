package org.snipewick.standins.engine;

import io.activej.eventloop.Eventloop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/** Continuous batch: prefill of one request after the other, decoding of all that run. */
final class Batch {
  private static final double MILLIS_PER_SECOND = 1000;

  private final Eventloop eventloop;
  private final EngineSettings settings;
  private final DoubleSupplier slowFactor;
  private final PrefixCache cache;
  private final Deque<Generation> queue = new ArrayDeque<>();
  private final Map<Generation, Run> running = new HashMap<>();
  private double prefillFreeAtMillis;

  /** One stay of a request in the batch. */
  private static final class Run {
    private double prefillStartMillis;
    private double prefillMillis;
    private boolean prefilled;
    private double dueMillis;
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

  int usedTokens() {
    return running.keySet().stream().mapToInt(Generation::usedTokens).sum();
  }

  void add(Generation generation) {
    queue.add(generation);
    admit();
  }

  /** Takes a request out of the batch, whatever it has reached. */
  void remove(Generation generation) {
    queue.remove(generation);
    Run run = running.remove(generation);
    if (run != null && !run.prefilled) {
      double elapsed = eventloop.currentTimeMillis() - run.prefillStartMillis;
      double share = Math.min(1, Math.max(0, elapsed / Math.max(1, run.prefillMillis)));
      generation.addPrefilled(generation.remainingPrefill() * share);
    }
    admit();
  }

  private void admit() {
    while (!queue.isEmpty() && running.size() < settings.maxInFlight() && fits(queue.peek())) {
      start(queue.remove());
    }
  }

  private boolean fits(Generation next) {
    int reserved = running.keySet().stream().mapToInt(Generation::maxTokens).sum();
    return reserved + next.maxTokens() <= settings.kvTokens();
  }

  private void start(Generation generation) {
    Run run = new Run();
    running.put(generation, run);
    if (generation.events().isEmpty() && generation.prefilledTokens() == 0) {
      int matched = cache.match(generation.request().blockHashes());
      int tokens = matched * ChatRequest.BLOCK_TOKENS;
      generation.cachedTokens(Math.min(tokens, generation.request().promptTokens() - 1));
    }
    long now = eventloop.currentTimeMillis();
    double tokensPerMilli = settings.prefillTokensPerSecond() / MILLIS_PER_SECOND;
    run.prefillMillis = generation.remainingPrefill() / tokensPerMilli * slowFactor.getAsDouble();
    run.prefillStartMillis = Math.max(now, prefillFreeAtMillis);
    prefillFreeAtMillis = run.prefillStartMillis + run.prefillMillis;
    at(prefillFreeAtMillis, () -> prefilled(generation, run));
  }

  private void prefilled(Generation generation, Run run) {
    if (running.get(generation) != run) {
      return;
    }
    run.prefilled = true;
    generation.addPrefilled(generation.remainingPrefill());
    List<Long> hashes = generation.request().blockHashes();
    cache.store(hashes, eventloop.currentTimeMillis());
    run.dueMillis = eventloop.currentTimeMillis();
    decodeNext(generation, run);
  }

  private void decodeNext(Generation generation, Run run) {
    double step = settings.decodeMillisPerToken() * slowFactor.getAsDouble();
    run.dueMillis = Math.max(run.dueMillis + step, eventloop.currentTimeMillis());
    at(run.dueMillis, () -> decode(generation, run));
  }

  private void decode(Generation generation, Run run) {
    if (running.get(generation) != run) {
      return;
    }
    generation.addToken();
    if (generation.isFinished()) {
      running.remove(generation);
      admit();
    } else {
      decodeNext(generation, run);
    }
  }

  private void at(double timeMillis, Runnable task) {
    eventloop.schedule(Math.round(timeMillis), task);
  }
}
