package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.membership.Membership;

/**
 * Tracks the period for which the claim records of the local domain are complete, according to this
 * instance and to the members that handed their records over to it.
 */
final class CoverageTracker {
  private final Membership membership;
  private final AtomicBoolean initiallyEmpty = new AtomicBoolean();
  private final AtomicReference<HandedOverCoverage> handedOver =
      new AtomicReference<>(new HandedOverCoverage(Long.MIN_VALUE, Long.MAX_VALUE));

  private CoverageTracker(Membership membership) {
    this.membership = requireNonNull(membership, "membership");
  }

  static CoverageTracker of(Membership membership) {
    return new CoverageTracker(membership);
  }

  /**
   * Returns the coverage of this instance. While it is inactive, it may lack the record of any
   * claim, and the period is empty.
   */
  Coverage current() {
    long activeSinceEpochMillis = membership.activeSinceEpochMillis();
    boolean continuouslyActive =
        membership.isActive() && membership.activeSinceEpochMillis() == activeSinceEpochMillis;
    return new Coverage(
        initiallyEmpty.get(),
        continuouslyActive ? completeSince(activeSinceEpochMillis) : Long.MAX_VALUE);
  }

  private long completeSince(long activeSinceEpochMillis) {
    HandedOverCoverage latest = handedOver.get();
    boolean sameActivePeriod = latest.activeSinceEpochMillis() == activeSinceEpochMillis;
    return sameActivePeriod
        ? Math.min(activeSinceEpochMillis, latest.completeSinceEpochMillis())
        : activeSinceEpochMillis;
  }

  /** Marks that no claims were recorded anywhere in the domain when this instance started. */
  void markInitiallyEmpty() {
    initiallyEmpty.set(true);
  }

  /** Adds the coverage of a leaving member, once all its records are handed over. */
  void addHandedOver(Coverage leaving) {
    Coverage joint = current().join(leaving);
    handedOver.set(
        new HandedOverCoverage(
            membership.activeSinceEpochMillis(), joint.completeSinceEpochMillis()));
    if (joint.initiallyEmpty()) {
      initiallyEmpty.set(true);
    }
  }

  /** Coverage after a handover; it applies only while the instance stays active. */
  private record HandedOverCoverage(long activeSinceEpochMillis, long completeSinceEpochMillis) {}
}
