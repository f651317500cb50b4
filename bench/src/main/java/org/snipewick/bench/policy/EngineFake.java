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
 * prefills one chunk of prompts. It ignores tiers and admits in order of arrival.
 */
final class EngineFake {
  static final int SLOTS = 16;
  static final double STEP_MILLIS = 12;
  static final double STEP_MILLIS_PER_REQUEST = 0.5;
  static final double PREFILL_TOKENS_PER_MILLI = 8;
  static final int CACHE_BLOCKS = 1_200;
  private static final int CHUNK_TOKENS = 512;
  private static final double NANOS_PER_MILLI = 1e6;

  final String name;
  final String domain;
  private final double slowness;
  private final TimerService timer;
  private final List<Job> admitted = new ArrayList<>();
  private final Deque<Job> queued = new ArrayDeque<>();
  private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private double straggling = 1;
  private boolean stepping;

  EngineFake(String name, String domain, double slowness, TimerService timer) {
    this.name = name;
    this.domain = domain;
    this.slowness = slowness;
    this.timer = timer;
  }

  void straggle(double factor) {
    straggling = factor;
  }

  double slowness() {
    return slowness * straggling;
  }

  List<Job> admitted() {
    return admitted;
  }

  Stream<Job> jobs() {
    return Stream.concat(admitted.stream(), queued.stream());
  }

  int inFlight() {
    return admitted.size() + queued.size();
  }

  double prefillBacklog() {
    double sum = 0;
    for (Job job : admitted) {
      sum += job.prefillLeft;
    }
    for (Job job : queued) {
      sum += job.request.work().promptTokens();
    }
    return sum;
  }

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

  static double steps(double tokens) {
    return Math.ceil(tokens / CHUNK_TOKENS);
  }

  double tokenMillis(int batch) {
    return slowness() * (STEP_MILLIS + STEP_MILLIS_PER_REQUEST * batch);
  }

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
      job.prefillLeft = uncachedTokens(job.request.work());
      admitted.add(job);
    }
    stepping = !admitted.isEmpty();
    if (!stepping) {
      return;
    }
    List<Job> decoding = admitted.stream().filter(job -> job.prefillLeft <= 0).toList();
    double chunk = prefillChunk();
    double millis = tokenMillis(decoding.size()) + prefillMillis(chunk);
    var unused =
        timer.after(Duration.ofNanos((long) (millis * NANOS_PER_MILLI)), () -> end(decoding));
  }

  private double prefillChunk() {
    double left = CHUNK_TOKENS;
    for (Job job : admitted) {
      double part = Math.min(left, job.prefillLeft);
      job.prefillLeft -= part;
      job.prefilled += part;
      left -= part;
      if (part > 0 && job.prefillLeft <= 0) {
        store(job.request.work());
      }
    }
    return CHUNK_TOKENS - left;
  }

  private void store(WorkRequest work) {
    work.prefixHashes().forEach(hash -> cache.put(hash, Boolean.TRUE));
    var oldest = cache.keySet().iterator();
    while (cache.size() > CACHE_BLOCKS) {
      oldest.next();
      oldest.remove();
    }
  }

  private void end(List<Job> decoded) {
    for (Job job : decoded) {
      if (!job.cancelled) {
        job.tokens++;
        if (job.tokens >= job.request.outputTokens()) {
          admitted.remove(job);
        }
        job.listener.run();
      }
    }
    step();
  }

  /** A request at an engine. */
  static final class Job {
    final Workload.Request request;
    final EngineFake engine;
    final Runnable listener;
    double prefillLeft;
    double prefilled;
    int tokens;
    boolean cancelled;
    Runnable abort = () -> {};

    Job(Workload.Request request, EngineFake engine, Runnable listener) {
      this.request = request;
      this.engine = engine;
      this.listener = listener;
    }

    int tokensLeft() {
      return request.outputTokens() - tokens;
    }

    boolean isComplete() {
      return tokens >= request.outputTokens();
    }
  }
}
