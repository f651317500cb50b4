package org.snipewick.bench.policy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.snipewick.pool.WorkRequest;
import org.snipewick.time.TimerService;

/**
 * Engine with continuous batching: each step decodes one token of every admitted request and
 * prefills one chunk of prompts. It has no tiers and admits in order of arrival.
 */
final class EngineFake {
  /** Maximum number of admitted requests. */
  static final int SLOTS = 16;

  /** Length of a step without requests that decode. */
  static final double BASE_STEP_MILLIS = 12;

  /** Time that each decoding request adds to a step. */
  static final double STEP_MILLIS_PER_REQUEST = 0.5;

  static final double PREFILL_TOKENS_PER_MILLI = 8;

  /** Capacity of the prefix cache, in blocks of {@link WorkRequest#PREFIX_BLOCK_TOKENS}. */
  static final int CACHE_BLOCKS = 1_200;

  /** Maximum number of prompt tokens that one step prefills. */
  private static final int CHUNK_TOKENS = 512;

  private static final double NANOS_PER_MILLI = 1e6;

  final String name;
  final String domain;
  private final double slowness;
  private final TimerService timer;
  private final List<Job> admitted = new ArrayList<>();
  private final Deque<Job> queued = new ArrayDeque<>();
  private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private double slowdown = 1;
  private boolean stepping;

  EngineFake(String name, String domain, double slowness, TimerService timer) {
    this.name = name;
    this.domain = domain;
    this.slowness = slowness;
    this.timer = timer;
  }

  /** Sets the factor by which the engine is slower than it usually is. */
  void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Returns the time of a step relative to that of the fastest kind of engine. */
  double slowness() {
    return slowness * slowdown;
  }

  List<Job> admitted() {
    return admitted;
  }

  /** Returns the admitted and the queued jobs. */
  Stream<Job> jobs() {
    return Stream.concat(admitted.stream(), queued.stream());
  }

  /** Returns the number of admitted and queued jobs. */
  int inFlight() {
    return admitted.size() + queued.size();
  }

  /** Returns the prompt tokens to prefill, those of queued jobs without regard to the cache. */
  double prefillBacklogTokens() {
    double sum = 0;
    for (Job job : admitted) {
      sum += job.prefillTokensLeft;
    }
    for (Job job : queued) {
      sum += job.request.work().promptTokens();
    }
    return sum;
  }

  /** Returns the prompt tokens after the longest cached prefix, at least 1. */
  double uncachedTokens(WorkRequest work) {
    int blocks = 0;
    for (Long hash : work.prefixHashes()) {
      if (!cache.containsKey(hash)) {
        break;
      }
      blocks++;
    }
    return Math.max(1, work.promptTokens() - blocks * (double) WorkRequest.PREFIX_BLOCK_TOKENS);
  }

  /** Returns the number of steps needed to prefill a number of prompt tokens. */
  static double prefillSteps(double tokens) {
    return Math.ceil(tokens / CHUNK_TOKENS);
  }

  /** Returns the length of a step that decodes a number of requests and prefills nothing. */
  double decodeStepMillis(int batch) {
    return slowness() * (BASE_STEP_MILLIS + STEP_MILLIS_PER_REQUEST * batch);
  }

  /** Returns the time that the prefill of a number of prompt tokens adds to steps. */
  double prefillMillis(double tokens) {
    return slowness() * tokens / PREFILL_TOKENS_PER_MILLI;
  }

  void submit(Job job) {
    queued.add(job);
    if (!stepping) {
      step();
    }
  }

  void cancel(Job job) {
    job.cancelled = true;
    queued.remove(job);
    admitted.remove(job);
  }

  private void step() {
    while (admitted.size() < SLOTS && !queued.isEmpty()) {
      Job job = queued.poll();
      job.prefillTokensLeft = uncachedTokens(job.request.work());
      admitted.add(job);
    }
    stepping = !admitted.isEmpty();
    if (!stepping) {
      return;
    }
    List<Job> decoding = admitted.stream().filter(job -> job.prefillTokensLeft <= 0).toList();
    double chunkTokens = prefillChunk();
    double millis = decodeStepMillis(decoding.size()) + prefillMillis(chunkTokens);
    var unused =
        timer.after(Duration.ofNanos((long) (millis * NANOS_PER_MILLI)), () -> endStep(decoding));
  }

  /** Prefills one chunk of prompts in order of admission and returns its tokens. */
  private double prefillChunk() {
    double tokensLeft = CHUNK_TOKENS;
    for (Job job : admitted) {
      double chunkPart = Math.min(tokensLeft, job.prefillTokensLeft);
      job.prefillTokensLeft -= chunkPart;
      job.prefilledTokens += chunkPart;
      tokensLeft -= chunkPart;
      if (chunkPart > 0 && job.prefillTokensLeft <= 0) {
        cachePrefix(job.request.work());
      }
    }
    return CHUNK_TOKENS - tokensLeft;
  }

  private void cachePrefix(WorkRequest work) {
    work.prefixHashes().forEach(hash -> cache.put(hash, Boolean.TRUE));
    var oldest = cache.keySet().iterator();
    while (cache.size() > CACHE_BLOCKS) {
      oldest.next();
      oldest.remove();
    }
  }

  private void endStep(List<Job> decoded) {
    for (Job job : decoded) {
      if (!job.cancelled) {
        job.generatedTokens++;
        if (job.generatedTokens >= job.request.outputTokens()) {
          admitted.remove(job);
        }
        job.onToken.run();
      }
    }
    step();
  }

  /** A request on an engine; {@code onToken} runs after each generated token. */
  static final class Job {
    final Workload.Request request;
    final EngineFake engine;
    final Runnable onToken;
    double prefillTokensLeft;
    double prefilledTokens;
    int generatedTokens;
    boolean cancelled;
    Runnable abort = () -> {};

    Job(Workload.Request request, EngineFake engine, Runnable onToken) {
      this.request = request;
      this.engine = engine;
      this.onToken = onToken;
    }

    int outputTokensLeft() {
      return request.outputTokens() - generatedTokens;
    }

    boolean isComplete() {
      return generatedTokens >= request.outputTokens();
    }
  }
}
