package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.snipewick.identity.EndpointId;
import org.snipewick.placement.EndpointPermits;
import org.snipewick.time.TimerService;

/**
 * Permits that this instance has in hand for endpoints with limits. One is requested at a time for
 * each endpoint, and only while a request could be placed there; it ends unless it is used within
 * its lifetime. Not thread-safe.
 */
public final class EndpointPermitStock implements EndpointPermits {
  /**
   * Time between the refused requests of one instance for each instance of the fleet: all instances
   * together request about 70 times a second at most for an endpoint that is at its limit.
   */
  private static final Duration RETRY_PERIOD_PER_INSTANCE = Duration.ofMillis(15);

  private static final Duration MIN_RETRY_PERIOD = Duration.ofMillis(20);

  private final TeamQuotas quotas;
  private final Function<EndpointId, OptionalDouble> limits;
  private final TimerService timer;
  private final RandomGenerator random;
  private final Runnable onPermit;
  private final Map<EndpointId, Stock> stocks = new HashMap<>();

  private EndpointPermitStock(
      TeamQuotas quotas,
      Function<EndpointId, OptionalDouble> limits,
      TimerService timer,
      RandomGenerator random,
      Runnable onPermit) {
    this.quotas = requireNonNull(quotas, "quotas");
    this.limits = requireNonNull(limits, "limits");
    this.timer = requireNonNull(timer, "timer");
    this.random = requireNonNull(random, "random");
    this.onPermit = requireNonNull(onPermit, "onPermit");
  }

  /**
   * Creates a stock without permits.
   *
   * @param quotas slots out of which permits are granted
   * @param limits requests per second of each endpoint that has named a limit
   * @param timer source of time, on whose thread all calls must be made
   * @param random source of randomness for the times of requests
   * @param onPermit task that runs when a permit was granted after a wait
   * @return stock
   */
  public static EndpointPermitStock of(
      TeamQuotas quotas,
      Function<EndpointId, OptionalDouble> limits,
      TimerService timer,
      RandomGenerator random,
      Runnable onPermit) {
    return new EndpointPermitStock(quotas, limits, timer, random, onPermit);
  }

  /** Permits for one endpoint, and the request for the next one. */
  private static final class Stock {
    private final Runnable onExpired;
    private final Deque<Long> expiryNanos = new ArrayDeque<>();
    private boolean isRequested;

    /** Whether a queue is deciding and uses a permit that is granted at once. */
    private boolean isDeciding;

    private boolean isRefused;
    private long nextRequestNanos;
    private long nextPermitNanos;

    private Stock(Runnable onExpired) {
      this.onExpired = onExpired;
    }

    boolean hasPermit(long nowNanos) {
      while (!expiryNanos.isEmpty() && expiryNanos.peek() - nowNanos <= 0) {
        expiryNanos.remove();
        onExpired.run();
      }
      return !expiryNanos.isEmpty();
    }
  }

  @Override
  public OptionalDouble requestsPerSecond(EndpointId endpoint) {
    return limits.apply(endpoint);
  }

  @Override
  public boolean isAvailable(EndpointId endpoint, long nowNanos) {
    OptionalDouble limit = limits.apply(endpoint);
    if (limit.isEmpty()) {
      return true;
    }
    Stock stock =
        stocks.computeIfAbsent(endpoint, id -> new Stock(quotas.metrics()::countExpiredPermit));
    boolean mayRequest =
        !stock.isRequested && (!stock.isRefused || stock.nextRequestNanos - nowNanos <= 0);
    if (!stock.hasPermit(nowNanos) && mayRequest) {
      stock.isRequested = true;
      stock.isDeciding = true;
      quotas.requestPermit(endpoint, limit.getAsDouble(), result -> onResult(stock, result));
      stock.isDeciding = false;
    }
    return stock.hasPermit(timer.nanoTime());
  }

  private void onResult(Stock stock, PermitResult result) {
    quotas.metrics().countPermit(result.isGranted());
    stock.isRequested = false;
    stock.isRefused = !result.isGranted();
    long now = timer.nanoTime();
    if (result.isGranted()) {
      stock.expiryNanos.add(result.sentNanos() + SlotLease.GRANT_LIFETIME.toNanos());
      if (!stock.isDeciding) {
        onPermit.run();
      }
    } else {
      stock.nextPermitNanos = now + result.retryAfter().toNanos();
      stock.nextRequestNanos = now + retryNanos(result.retryAfter());
    }
  }

  /** Spreads the requests of all instances, which are refused until the same moment. */
  private long retryNanos(Duration retryAfter) {
    Duration period = RETRY_PERIOD_PER_INSTANCE.multipliedBy(quotas.instances());
    long periodNanos = Math.max(MIN_RETRY_PERIOD.toNanos(), period.toNanos());
    return Math.max(retryAfter.toNanos(), periodNanos / 2) + random.nextLong(periodNanos);
  }

  @Override
  public void use(EndpointId endpoint, long nowNanos) {
    Stock stock = stocks.get(endpoint);
    if (stock != null && limits.apply(endpoint).isPresent() && stock.hasPermit(nowNanos)) {
      stock.expiryNanos.remove();
    }
  }

  @Override
  public long expectedWaitNanos(EndpointId endpoint, long nowNanos) {
    Stock stock = stocks.get(endpoint);
    if (stock == null || !stock.isRefused || limits.apply(endpoint).isEmpty()) {
      return 0;
    }
    return stock.hasPermit(nowNanos) ? 0 : Math.max(0, stock.nextPermitNanos - nowNanos);
  }

  /**
   * Removes the state of all other endpoints.
   *
   * @param endpoints endpoints that are listed
   */
  public void retain(Set<EndpointId> endpoints) {
    stocks.keySet().retainAll(endpoints);
  }
}
