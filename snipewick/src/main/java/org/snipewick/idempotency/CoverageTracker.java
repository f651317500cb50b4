package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.membership.Membership;

/** Keeps for which time this instance can vouch that the memory of its domain is complete. */
final class CoverageTracker {
  private final Membership membership;
  private final AtomicBoolean provenEmpty = new AtomicBoolean();
  private final AtomicReference<Inherited> inherited =
      new AtomicReference<>(new Inherited(Long.MIN_VALUE, Long.MAX_VALUE));

  private CoverageTracker(Membership membership) {
    this.membership = requireNonNull(membership, "membership");
  }

  static CoverageTracker of(Membership membership) {
    return new CoverageTracker(membership);
  }

  /** Returns what this instance covers; without standing it may have missed any claim. */
  Coverage current() {
    long since = membership.standingSinceEpochMillis();
    boolean unbroken = membership.hasStanding() && membership.standingSinceEpochMillis() == since;
    return new Coverage(provenEmpty.get(), unbroken ? presentFrom(since) : Long.MAX_VALUE);
  }

  private long presentFrom(long standingSince) {
    Inherited kept = inherited.get();
    boolean valid = kept.standingSinceEpochMillis() == standingSince;
    return valid ? Math.min(standingSince, kept.presentFromEpochMillis()) : standingSince;
  }

  /** Notes that no claims were remembered anywhere in the domain when this instance started. */
  void proveEmpty() {
    provenEmpty.set(true);
  }

  /** Takes over what a leaving member covered, once all its records are handed over. */
  void inherit(Coverage leaving) {
    Coverage joint = current().join(leaving);
    inherited.set(
        new Inherited(membership.standingSinceEpochMillis(), joint.presentFromEpochMillis()));
    if (joint.provenEmpty()) {
      provenEmpty.set(true);
    }
  }

  private record Inherited(long standingSinceEpochMillis, long presentFromEpochMillis) {}
}
