package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.snipewick.identity.InstanceId;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/**
 * Requests of one team that wait for grants. The holders of slots are asked one after the other; a
 * holder that has too little is not asked again before it may have more. Not thread-safe.
 */
final class QuotaQueue {
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

  /** Time for which requests wait while no holder of a slot is known. */
  private static final Duration MAX_WAIT_FOR_HOLDERS = Duration.ofMillis(400);

  private static final Duration HOLDER_CHECK_PERIOD = Duration.ofMillis(50);

  /**
   * Time for which a holder with too little is not asked again, for each instance that may ask it,
   * so that overload does not multiply the messages to a holder.
   */
  private static final Duration PAUSE_PER_INSTANCE = Duration.ofMillis(5);

  private static final Duration MIN_PAUSE = Duration.ofMillis(50);

  private final String key;
  private final TimerService timer;
  private final Supplier<Optional<QuotaPeers>> peers;
  private final QuotaMetrics metrics;
  private final Allowance allowance = new Allowance();
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private final Map<InstanceId, Hint> hints = new HashMap<>();
  private final Set<InstanceId> asked = new HashSet<>();
  private boolean isAsking;
  private boolean takesParts;

  QuotaQueue(
      String key, TimerService timer, Supplier<Optional<QuotaPeers>> peers, QuotaMetrics metrics) {
    this.key = requireNonNull(key, "key");
    this.timer = requireNonNull(timer, "timer");
    this.peers = requireNonNull(peers, "peers");
    this.metrics = requireNonNull(metrics, "metrics");
  }

  private record Waiting(
      double amount, long sinceNanos, CompletableFuture<Optional<Duration>> result) {}

  /** What a holder has last replied. */
  private record Hint(double free, long untilNanos, long retryAtNanos) {}

  /** Spends an amount out of grants; the result is as in {@link TeamQuotas#spend}. */
  CompletableFuture<Optional<Duration>> spend(double amount) {
    if (waiting.isEmpty() && allowance.trySpend(amount, Moment.now(timer))) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    CompletableFuture<Optional<Duration>> result = new CompletableFuture<>();
    waiting.addLast(new Waiting(amount, timer.nanoTime(), result));
    if (!isAsking) {
      beginRound();
    }
    return result;
  }

  private void beginRound() {
    isAsking = true;
    takesParts = false;
    asked.clear();
    askNext();
  }

  private void askNext() {
    serveWaiting();
    if (waiting.isEmpty()) {
      isAsking = false;
      return;
    }
    if (holders().isEmpty()) {
      waitForHolders();
      return;
    }
    Optional<InstanceId> next = nextHolder();
    if (next.isPresent()) {
      ask(next.get());
    } else if (!takesParts && freeParts() >= missing(smallest())) {
      takesParts = true;
      asked.clear();
      askNext();
    } else {
      refuseWaiting();
    }
  }

  private List<InstanceId> holders() {
    return peers.get().map(QuotaPeers::holders).orElse(List.of());
  }

  private void waitForHolders() {
    long now = timer.nanoTime();
    if (now - waiting.peekFirst().sinceNanos() >= MAX_WAIT_FOR_HOLDERS.toNanos()) {
      refuseWaiting();
    } else {
      timer.after(HOLDER_CHECK_PERIOD, this::askNext);
    }
  }

  private Optional<InstanceId> nextHolder() {
    double minimum = minimum();
    return holders().stream()
        .filter(holder -> !asked.contains(holder) && !isSilent(holder))
        .filter(holder -> mayGrant(holder, minimum))
        .findFirst();
  }

  private boolean isSilent(InstanceId holder) {
    return peers.get().filter(known -> known.isSilent(holder)).isPresent();
  }

  private boolean mayGrant(InstanceId holder, double minimum) {
    Hint hint = hints.get(holder);
    return hint == null || hint.untilNanos() - timer.nanoTime() <= 0 || hint.free() >= minimum;
  }

  private double minimum() {
    return takesParts ? 1 : missing(smallest());
  }

  private double smallest() {
    return waiting.stream().mapToDouble(Waiting::amount).min().orElse(0);
  }

  private double missing(double amount) {
    return Math.max(1, amount - allowance.available(Moment.now(timer)));
  }

  /** Returns what the holders have that have too little for the smallest request each. */
  private double freeParts() {
    return holders().stream()
        .map(hints::get)
        .filter(hint -> hint != null)
        .mapToDouble(Hint::free)
        .sum();
  }

  private void ask(InstanceId holder) {
    asked.add(holder);
    metrics.countAsk();
    double all = waiting.stream().mapToDouble(Waiting::amount).sum();
    double wanted = takesParts ? missing(smallest()) : missing(all);
    Moment askedAt = Moment.now(timer);
    QuotaMessages.Ask ask = new QuotaMessages.Ask(key, wanted, Math.min(minimum(), wanted));
    peers.get().orElseThrow().ask(holder, ask, reply -> onReply(holder, reply, askedAt));
  }

  private void onReply(InstanceId holder, Optional<QuotaMessages.Grant> reply, Moment askedAt) {
    long now = timer.nanoTime();
    if (reply.isPresent()) {
      QuotaMessages.Grant grant = reply.get();
      allowance.add(grant.amount(), askedAt);
      long retryNanos = Duration.ofMillis(grant.retryAfterMillis()).toNanos();
      hints.put(holder, new Hint(grant.free(), now + pauseNanos(retryNanos), now + retryNanos));
    } else {
      metrics.countUnanswered();
      hints.remove(holder);
    }
    askNext();
  }

  private long pauseNanos(long retryNanos) {
    long instances = peers.get().map(QuotaPeers::instances).orElse(1);
    long longest = PAUSE_PER_INSTANCE.multipliedBy(instances).toNanos();
    return Math.max(MIN_PAUSE.toNanos(), Math.min(retryNanos, longest));
  }

  private void serveWaiting() {
    Moment now = Moment.now(timer);
    for (Iterator<Waiting> each = waiting.iterator(); each.hasNext(); ) {
      Waiting next = each.next();
      if (allowance.trySpend(next.amount(), now)) {
        each.remove();
        metrics.recordWait(now.monotonicNanos() - next.sinceNanos());
        complete(next, Optional.empty());
      }
    }
  }

  private void refuseWaiting() {
    isAsking = false;
    Duration retryAfter = retryAfter();
    for (Waiting refused = waiting.pollFirst(); refused != null; refused = waiting.pollFirst()) {
      metrics.countRefused();
      complete(refused, Optional.of(retryAfter));
    }
  }

  /** Completes a result after this step, as its dependents may spend again. */
  private void complete(Waiting ended, Optional<Duration> result) {
    timer.after(Duration.ZERO, () -> ended.result().complete(result));
  }

  private Duration retryAfter() {
    long now = timer.nanoTime();
    long nanos =
        holders().stream()
            .map(hints::get)
            .filter(hint -> hint != null)
            .mapToLong(hint -> hint.retryAtNanos() - now)
            .min()
            .orElse(MIN_RETRY_AFTER.toNanos());
    Duration wait = Duration.ofNanos(Math.max(0, nanos));
    if (wait.compareTo(MIN_RETRY_AFTER) < 0) {
      return MIN_RETRY_AFTER;
    }
    return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
  }
}
