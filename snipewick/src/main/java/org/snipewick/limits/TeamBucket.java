package org.snipewick.limits;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.catalogue.Entry;

/**
 * Admission of the requests of one team at one instance. Holds two buckets, one for the tokens of
 * prompts and answers and one for requests, both refilled at the instance's share of the team's
 * rates, and a bounded count of requests in flight. A request is admitted if the tokens are not
 * used up, and may then overdraw them, so that a single long request is never refused for its
 * length alone. Thread-safe.
 */
final class TeamBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Capacity of a bucket: what its rate refills in this many seconds. */
  private static final double BURST_SECONDS = 1;

  /** Time without a request after which a bucket counts as not used recently. */
  private static final long MIN_UNUSED_NANOS = 1_000_000_000L;

  /** Value of the count of requests in flight that marks a closed bucket. */
  private static final long CLOSED_MARK = -1;

  private final AtomicReference<Level> level;
  private final AtomicLong inFlight = new AtomicLong();
  private final AtomicLong demandedTokens = new AtomicLong();
  private final AtomicLong demandedRequests = new AtomicLong();
  private volatile double share;
  private volatile long lastUsedNanos;

  /** Result of an attempt to acquire admission. */
  enum Admission {
    /** The request was admitted. */
    ADMITTED,
    /** A limit does not allow the request now. */
    REFUSED,
    /** The bucket is closed and must be replaced by a new one. */
    CLOSED
  }

  /** Content of both buckets after the refill until a monotonic time. */
  private record Level(double tokens, double requests, long filledNanos) {}

  private TeamBucket(Entry.Team team, double share, long nowNanos) {
    this.share = share;
    this.lastUsedNanos = nowNanos;
    this.level =
        new AtomicReference<>(
            new Level(
                capacity(team.tokensPerSecond()), capacity(team.requestsPerSecond()), nowNanos));
  }

  /** Returns a full bucket, so that the first burst of a team is admitted up to its share. */
  static TeamBucket of(Entry.Team team, double share, long nowNanos) {
    return new TeamBucket(team, share, nowNanos);
  }

  /** Admits a request if the buckets and the count of requests in flight allow it. */
  Admission tryAcquire(Entry.Team team, long tokens, long nowNanos) {
    long before = inFlight.getAndUpdate(count -> count == CLOSED_MARK ? CLOSED_MARK : count + 1);
    if (before == CLOSED_MARK) {
      return Admission.CLOSED;
    }
    lastUsedNanos = nowNanos;
    demandedTokens.addAndGet(tokens);
    demandedRequests.incrementAndGet();
    long maxInFlight = Math.max(1, (long) (team.inFlight() * share));
    if (before >= maxInFlight || !trySpend(team, tokens, nowNanos)) {
      inFlight.decrementAndGet();
      return Admission.REFUSED;
    }
    return Admission.ADMITTED;
  }

  /** Removes an admitted request from those in flight. */
  void release() {
    inFlight.decrementAndGet();
  }

  /**
   * Closes the bucket permanently unless requests are in flight. Returns whether this call closed
   * it.
   */
  boolean close() {
    return inFlight.compareAndSet(0, CLOSED_MARK);
  }

  /** Replaces the tokens that were reserved for a request by those that it used. */
  void adjustTokens(Entry.Team team, long reserved, long used, long nowNanos) {
    level.updateAndGet(
        old -> {
          Level filled = filled(old, team, nowNanos);
          double tokens =
              Math.min(capacity(team.tokensPerSecond()), filled.tokens() + reserved - used);
          return new Level(tokens, filled.requests(), filled.filledNanos());
        });
  }

  /** Returns the milliseconds until a request would be admitted at the current share. */
  long waitMillis(Entry.Team team, long nowNanos) {
    Level filled = filled(level.get(), team, nowNanos);
    double secondsForTokens =
        -Math.min(0, filled.tokens()) / Math.max(1e-9, team.tokensPerSecond() * share);
    double secondsForRequests =
        Math.max(0, 1 - filled.requests()) / Math.max(1e-9, team.requestsPerSecond() * share);
    return (long) (1_000 * Math.max(secondsForTokens, secondsForRequests));
  }

  /**
   * Returns the demand since the last call and resets it, as a share of the team's limits: the
   * largest share among tokens, requests and requests in flight.
   *
   * @param seconds time since the last call, more than 0
   */
  double takeDemand(Entry.Team team, double seconds) {
    double tokenShare = demandedTokens.getAndSet(0) / seconds / team.tokensPerSecond();
    double requestShare = demandedRequests.getAndSet(0) / seconds / team.requestsPerSecond();
    return Math.max(Math.max(tokenShare, requestShare), (double) inFlight.get() / team.inFlight());
  }

  /**
   * Returns whether the bucket needs no share for now: it was not used recently, is full, and has
   * no request in flight. With a request in flight it needs one, because the smallest share would
   * refuse a second concurrent request.
   */
  boolean needsNoShare(Entry.Team team, long nowNanos) {
    Level filled = filled(level.get(), team, nowNanos);
    return nowNanos - lastUsedNanos > MIN_UNUSED_NANOS
        && inFlight.get() == 0
        && filled.tokens() >= capacity(team.tokensPerSecond())
        && filled.requests() >= capacity(team.requestsPerSecond());
  }

  double share() {
    return share;
  }

  /** Sets the share from now on; what was refilled until now is kept. */
  void setShare(Entry.Team team, double newShare, long nowNanos) {
    level.updateAndGet(old -> filled(old, team, nowNanos));
    share = newShare;
  }

  long lastUsedNanos() {
    return lastUsedNanos;
  }

  long inFlight() {
    return inFlight.get();
  }

  private boolean trySpend(Entry.Team team, long tokens, long nowNanos) {
    while (true) {
      Level old = level.get();
      Level filled = filled(old, team, nowNanos);
      if (filled.tokens() <= 0 || filled.requests() < 1) {
        return false;
      }
      Level spent =
          new Level(filled.tokens() - tokens, filled.requests() - 1, filled.filledNanos());
      if (level.compareAndSet(old, spent)) {
        return true;
      }
    }
  }

  /** Returns the level after the refill until now. */
  private Level filled(Level old, Entry.Team team, long nowNanos) {
    double seconds = Math.max(0, nowNanos - old.filledNanos()) / NANOS_PER_SECOND;
    double tokens = old.tokens() + seconds * share * team.tokensPerSecond();
    double requests = old.requests() + seconds * share * team.requestsPerSecond();
    return new Level(
        Math.min(tokens, Math.max(old.tokens(), capacity(team.tokensPerSecond()))),
        Math.min(requests, Math.max(old.requests(), capacity(team.requestsPerSecond()))),
        Math.max(old.filledNanos(), nowNanos));
  }

  private double capacity(double perSecond) {
    return Math.max(1, BURST_SECONDS * share * perSecond);
  }
}
