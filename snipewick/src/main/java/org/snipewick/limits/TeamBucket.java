package org.snipewick.limits;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.catalogue.Entry;

/**
 * What one instance lets one team use: a bucket of tokens and one of requests, filled at the
 * instance's share of the limits, and a count of requests in flight. A request passes while the
 * buckets are not in debt, so that a single long one is never refused for its length alone.
 */
final class TeamBucket {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BURST_SECONDS = 1;
  private static final long QUIET_NANOS = 1_000_000_000L;
  private static final long CLOSED = -1;

  private final AtomicReference<Level> level;
  private final AtomicLong inFlight = new AtomicLong();
  private final AtomicLong askedTokens = new AtomicLong();
  private final AtomicLong askedRequests = new AtomicLong();
  private volatile double share;
  private volatile long usedNanos;

  /** What became of a request that asked for admission. */
  enum Admission {
    ADMITTED,
    REFUSED,
    CLOSED
  }

  private record Level(double tokens, double requests, long nanos) {}

  private TeamBucket(Entry.Team team, double share, long nowNanos) {
    this.share = share;
    this.usedNanos = nowNanos;
    this.level =
        new AtomicReference<>(
            new Level(
                capacity(team.tokensPerSecond()), capacity(team.requestsPerSecond()), nowNanos));
  }

  /** Returns a full bucket, so that the first burst of a team passes up to its share. */
  static TeamBucket of(Entry.Team team, double share, long nowNanos) {
    return new TeamBucket(team, share, nowNanos);
  }

  /** Takes a request into account if nothing is in debt. */
  Admission tryAcquire(Entry.Team team, long tokens, long nowNanos) {
    long before = inFlight.getAndUpdate(count -> count == CLOSED ? CLOSED : count + 1);
    if (before == CLOSED) {
      return Admission.CLOSED;
    }
    usedNanos = nowNanos;
    askedTokens.addAndGet(tokens);
    askedRequests.incrementAndGet();
    long most = Math.max(1, (long) (team.inFlight() * share));
    if (before >= most || !take(team, tokens, nowNanos)) {
      inFlight.decrementAndGet();
      return Admission.REFUSED;
    }
    return Admission.ADMITTED;
  }

  /** Ends a request that was admitted. */
  void leave() {
    inFlight.decrementAndGet();
  }

  /** Closes the bucket for good unless requests are in flight; tells whether it is closed. */
  boolean close() {
    return inFlight.compareAndSet(0, CLOSED);
  }

  /** Corrects the tokens that were reserved for a request. */
  void giveBack(Entry.Team team, long reserved, long used, long nowNanos) {
    level.updateAndGet(
        old -> {
          Level filled = filled(old, team, nowNanos);
          double tokens =
              Math.min(capacity(team.tokensPerSecond()), filled.tokens() + reserved - used);
          return new Level(tokens, filled.requests(), filled.nanos());
        });
  }

  /** Returns when a request would pass, in milliseconds from now, at the present share. */
  long waitMillis(Entry.Team team, long nowNanos) {
    Level now = filled(level.get(), team, nowNanos);
    double tokens = -Math.min(0, now.tokens()) / Math.max(1e-9, team.tokensPerSecond() * share);
    double requests =
        Math.max(0, 1 - now.requests()) / Math.max(1e-9, team.requestsPerSecond() * share);
    return (long) (1_000 * Math.max(tokens, requests));
  }

  /**
   * Returns what was asked for since the last call, as a share of the team's limits.
   *
   * @param seconds time since the last call
   */
  double takeDemand(Entry.Team team, double seconds) {
    double tokens = askedTokens.getAndSet(0) / seconds / team.tokensPerSecond();
    double requests = askedRequests.getAndSet(0) / seconds / team.requestsPerSecond();
    return Math.max(Math.max(tokens, requests), (double) inFlight.get() / team.inFlight());
  }

  /**
   * Tells whether the bucket needs no share for now: it was not used lately, is full, and has no
   * request in flight, so that a second one at the same time would be refused with the least share.
   */
  boolean isSatisfied(Entry.Team team, long nowNanos) {
    Level now = filled(level.get(), team, nowNanos);
    return nowNanos - usedNanos > QUIET_NANOS
        && inFlight.get() == 0
        && now.tokens() >= capacity(team.tokensPerSecond())
        && now.requests() >= capacity(team.requestsPerSecond());
  }

  double share() {
    return share;
  }

  /** Changes the share from now on; what was filled until now stays as it is. */
  void share(Entry.Team team, double changed, long nowNanos) {
    level.updateAndGet(old -> filled(old, team, nowNanos));
    share = changed;
  }

  long usedNanos() {
    return usedNanos;
  }

  long inFlight() {
    return inFlight.get();
  }

  private boolean take(Entry.Team team, long tokens, long nowNanos) {
    while (true) {
      Level old = level.get();
      Level filled = filled(old, team, nowNanos);
      if (filled.tokens() <= 0 || filled.requests() < 1) {
        return false;
      }
      Level taken = new Level(filled.tokens() - tokens, filled.requests() - 1, filled.nanos());
      if (level.compareAndSet(old, taken)) {
        return true;
      }
    }
  }

  private Level filled(Level old, Entry.Team team, long nowNanos) {
    double seconds = Math.max(0, nowNanos - old.nanos()) / NANOS_PER_SECOND;
    double tokens = old.tokens() + seconds * share * team.tokensPerSecond();
    double requests = old.requests() + seconds * share * team.requestsPerSecond();
    return new Level(
        Math.min(tokens, Math.max(old.tokens(), capacity(team.tokensPerSecond()))),
        Math.min(requests, Math.max(old.requests(), capacity(team.requestsPerSecond()))),
        Math.max(old.nanos(), nowNanos));
  }

  private double capacity(double perSecond) {
    return Math.max(1, BURST_SECONDS * share * perSecond);
  }
}
