package org.snipewick.store.http;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.snipewick.time.TimerService;

/** Reads from the platform: equal reads in flight are shared, failed ones repeated in a budget. */
final class Reads {
  private static final List<Integer> IF_SERVED =
      List.of(Reply.OK, Reply.CLIENT_ERROR, Reply.NOT_FOUND);
  private static final List<Integer> IF_CHANGED =
      List.of(Reply.OK, Reply.NOT_MODIFIED, Reply.CLIENT_ERROR, Reply.NOT_FOUND);

  private final Transport transport;
  private final TimerService timer;
  private final CircuitBreaker circuit;
  private final RetryPolicy retries;
  private final RateLimiter limiter;
  private final Duration longestWait;
  private final Map<String, CompletableFuture<Reply.Answered>> inFlight = new ConcurrentHashMap<>();

  Reads(
      PlatformSettings settings,
      Transport transport,
      TimerService timer,
      CircuitBreaker circuit,
      RetryPolicy retries) {
    this.transport = requireNonNull(transport, "transport");
    this.timer = requireNonNull(timer, "timer");
    this.circuit = requireNonNull(circuit, "circuit");
    this.retries = requireNonNull(retries, "retries");
    limiter = new RateLimiter(timer, settings.readsPerSecond());
    longestWait = Duration.ofMillis(settings.timeoutMillis());
  }

  /** Reads a path; the answer has status 200 or 404. */
  CompletableFuture<Reply.Answered> get(String path) {
    return share(path, () -> transport.get(path), List.of(Reply.OK, Reply.NOT_FOUND));
  }

  /** Asks for the head of a path; the answer has status 200 or 404. */
  CompletableFuture<Reply.Answered> head(String path) {
    return share("HEAD " + path, () -> transport.head(path), List.of(Reply.OK, Reply.NOT_FOUND));
  }

  /** Reads a path that may not be served; the answer has status 200, 400 or 404. */
  CompletableFuture<Reply.Answered> getIfServed(String path) {
    return share(path, () -> transport.get(path), IF_SERVED);
  }

  /** Reads a path if it has changed since an entity tag; as above, or with status 304. */
  CompletableFuture<Reply.Answered> getIfChanged(String path, String entityTag) {
    return share(path + " " + entityTag, () -> transport.get(path, entityTag), IF_CHANGED);
  }

  private CompletableFuture<Reply.Answered> share(
      String key, Supplier<CompletableFuture<Reply>> call, List<Integer> statuses) {
    CompletableFuture<Reply.Answered> created = new CompletableFuture<>();
    CompletableFuture<Reply.Answered> shared = inFlight.putIfAbsent(key, created);
    if (shared != null) {
      return shared.copy();
    }
    retries.recordFirstAttempt();
    new Attempt(key, call, statuses, created, 1).start();
    return created.copy();
  }

  /** Keeps later reads of a path from sharing one that was sent before a write to it. */
  void separate(String path) {
    inFlight.remove(path);
  }

  /** Keeps later reads from sharing scans that were sent before a write to a row they cover. */
  void separateScans(Predicate<String> covers) {
    inFlight.keySet().removeIf(covers);
  }

  private final class Attempt {
    private final String key;
    private final Supplier<CompletableFuture<Reply>> call;
    private final List<Integer> statuses;
    private final CompletableFuture<Reply.Answered> result;
    private final int number;

    Attempt(
        String key,
        Supplier<CompletableFuture<Reply>> call,
        List<Integer> statuses,
        CompletableFuture<Reply.Answered> result,
        int number) {
      this.key = key;
      this.call = call;
      this.statuses = statuses;
      this.result = result;
      this.number = number;
    }

    void start() {
      if (!circuit.isAvailable()) {
        fail("platform is unavailable");
        return;
      }
      Optional<Duration> wait = limiter.reserve(longestWait);
      if (wait.isEmpty()) {
        fail("over this instance's read rate");
      } else if (wait.get().isZero()) {
        send();
      } else {
        timer.after(wait.get(), this::send);
      }
    }

    private void send() {
      call.get().thenAccept(this::onReply);
    }

    private void onReply(Reply reply) {
      circuit.observe(reply);
      if (reply instanceof Reply.Answered answered && statuses.contains(answered.status())) {
        unshare();
        result.complete(answered);
        return;
      }
      Optional<Duration> next = reply.isWorthRepeating() ? retries.next(number) : Optional.empty();
      next.ifPresentOrElse(
          delay -> timer.after(delay, new Attempt(key, call, statuses, result, number + 1)::start),
          () -> fail(reply.detail()));
    }

    private void fail(String detail) {
      unshare();
      result.completeExceptionally(circuit.unavailable(detail).toException());
    }

    /** Comes before the end is told, so that a read which the end starts is sent anew. */
    private void unshare() {
      inFlight.remove(key, result);
    }
  }
}
