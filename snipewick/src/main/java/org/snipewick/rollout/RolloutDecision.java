package org.snipewick.rollout;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides the next phase of an order from what all instances have seen. Every instance that sees
 * the same decides the same.
 */
final class RolloutDecision {
  /**
   * Age from which on the evidence of an instance is not current. Evidence is written at least once
   * a second.
   */
  static final Duration MAX_EVIDENCE_AGE = Duration.ofSeconds(3);

  /** Time for a phase to reach all instances, and for their evidence to return. */
  private static final Duration ROUND_TRIP = Duration.ofMillis(700);

  private static final Duration ROUND_TRIP_PER_INSTANCE = Duration.ofMillis(1);

  /** Shortest time for the move, even if the exposure left would be used up earlier. */
  private static final Duration MIN_MOVE = Duration.ofMillis(1000);

  /** Time before the deadline after which a move could not end in time. */
  private static final Duration LATEST_MOVE = Duration.ofMillis(700);

  /**
   * Time before the deadline at which the order completes at the earliest, as the old endpoints
   * stop then: all requests would go to a version that turns bad between that and the deadline.
   */
  private static final Duration COMPLETION_LEAD = Duration.ofMillis(350);

  /** Time before the deadline until which silent instances are waited for. */
  private static final Duration LAST_CALL = Duration.ofMillis(300);

  private static final double RESIDENCE_QUANTILE = 0.99;

  /** Demand swings by about half within an order. */
  private static final double RATE_MARGIN = 1.5;

  /** Responses of the new version that are enough to move, if there are many requests. */
  private static final int ENOUGH_ANSWERS = 8;

  private static final double ANSWERED_PART = 0.3;
  private static final int MIN_RECENT_ANSWERS = 40;

  private final RolloutRecord record;
  private final RolloutBounds bounds;
  private final View view;

  RolloutDecision(RolloutRecord record, RolloutBounds bounds, View view) {
    this.record = record;
    this.bounds = bounds;
    this.view = view;
  }

  /**
   * What a deciding instance sees.
   *
   * @param elapsed time since the order
   * @param evidence evidence of this order by instance
   * @param recent part of the evidence that was seen in the last seconds, by instance
   * @param current instances whose evidence is current
   * @param members names of all instances
   * @param targetEndpoints accepting endpoints of the new version
   * @param oldVersions versions of accepting endpoints that may be used beside the new one
   * @param isWithdrawn whether the operator's row does not exist any more
   */
  record View(
      Duration elapsed,
      Map<String, Evidence> evidence,
      Map<String, Evidence> recent,
      Set<String> current,
      Set<String> members,
      int targetEndpoints,
      List<String> oldVersions,
      boolean isWithdrawn) {
    View {
      evidence = Map.copyOf(evidence);
      recent = Map.copyOf(recent);
      current = Set.copyOf(current);
      members = Set.copyOf(members);
      oldVersions = List.copyOf(oldVersions);
    }
  }

  /**
   * Next phase.
   *
   * @param phase phase
   * @param moveShare see {@link RolloutRecord}
   * @param reason reason to log
   */
  record Next(RolloutPhase phase, double moveShare, String reason) {}

  /** Returns the next phase; empty if the present one continues. */
  Optional<Next> next() {
    if (record.phase().hasEnded()) {
      return Optional.empty();
    }
    if (view.isWithdrawn()) {
      return Optional.of(rolledBack("order was withdrawn"));
    }
    Optional<String> fault = findFault(VersionComparison.CONVICTION);
    if (fault.isPresent()) {
      return Optional.of(rolledBack(fault.get()));
    }
    return record.phase() == RolloutPhase.TRIAL ? afterTrial() : afterMove();
  }

  private Optional<Next> afterTrial() {
    boolean hasOldResponses =
        view.evidence().values().stream().anyMatch(seen -> !seen.old().isEmpty());
    if (view.targetEndpoints() > 0 && view.oldVersions().isEmpty() && !hasOldResponses) {
      return Optional.of(complete("version is the only one in use"));
    }
    if (view.elapsed().plus(LATEST_MOVE).compareTo(record.duration()) >= 0) {
      return Optional.of(rolledBack("not shown to be good by the deadline"));
    }
    boolean isDue = view.elapsed().compareTo(moveTime()) >= 0;
    if (isDue
        && view.targetEndpoints() > 0
        && hasEnoughAnswers()
        && findFault(VersionComparison.SUSPICION).isEmpty()) {
      return Optional.of(new Next(RolloutPhase.MOVING, moveShare(), "no fault found"));
    }
    return Optional.empty();
  }

  private Optional<Next> afterMove() {
    if (view.targetEndpoints() == 0) {
      return Optional.of(rolledBack("version has no endpoints left"));
    }
    if (view.elapsed().plus(COMPLETION_LEAD).compareTo(record.duration()) < 0) {
      return Optional.empty();
    }
    boolean isLastCall = view.elapsed().plus(LAST_CALL).compareTo(record.duration()) >= 0;
    for (String member : view.members()) {
      boolean isCurrent = view.current().contains(member);
      Evidence seen = view.evidence().get(member);
      boolean hasLeftOld = seen != null && seen.isSealed() && seen.onOld() == 0;
      if (isCurrent ? !hasLeftOld : !isLastCall) {
        return Optional.empty();
      }
    }
    return Optional.of(complete("no request is left on old endpoints"));
  }

  private Optional<String> findFault(double strength) {
    boolean hasSeveral = view.targetEndpoints() > 1;
    Map<String, Tally> baseline = VersionComparison.baselineOf(view.evidence().values());
    return new VersionComparison(view.evidence(), baseline, hasSeveral)
        .findFault(strength)
        .or(
            () ->
                new VersionComparison(view.recent(), recentBaseline(baseline), hasSeveral)
                    .findFault(strength));
  }

  /** Returns the tally of the last seconds for the routes on which it is large enough. */
  private Map<String, Tally> recentBaseline(Map<String, Tally> baseline) {
    Map<String, Tally> merged = new HashMap<>(baseline);
    VersionComparison.baselineOf(view.recent().values())
        .forEach(
            (route, tally) -> {
              if (tally.answers() >= MIN_RECENT_ANSWERS) {
                merged.put(route, tally);
              }
            });
    return merged;
  }

  /**
   * Returns the time from the order to the move: late, so that a version that turns bad afterwards
   * stays within the share, and early enough for the requests on old endpoints to end.
   */
  Duration moveTime() {
    Duration roundTrip =
        ROUND_TRIP.plus(ROUND_TRIP_PER_INSTANCE.multipliedBy(view.members().size()));
    Duration needed = Duration.ofNanos((long) residenceNanos()).plus(roundTrip);
    Duration longest = Duration.ofNanos((long) (secondsOfExposureLeft() * 1e9));
    Duration window = needed.compareTo(longest) < 0 ? needed : longest;
    return record.duration().minus(window.compareTo(MIN_MOVE) > 0 ? window : MIN_MOVE);
  }

  private double residenceNanos() {
    Map<Integer, Long> sum = new HashMap<>();
    for (Evidence seen : view.evidence().values()) {
      seen.residence().forEach((bucket, count) -> sum.merge(bucket, count, Long::sum));
    }
    return sum.isEmpty() ? 0 : Durations.nanosOf(Durations.quantile(sum, RESIDENCE_QUANTILE));
  }

  private double secondsOfExposureLeft() {
    double elapsedSeconds = Math.max(0.1, view.elapsed().toMillis() / 1e3);
    double perSecond = arrived() / elapsedSeconds;
    double atDeadline = perSecond * record.durationMillis() / 1e3;
    double left = bounds.share() * atDeadline + bounds.slack() - exposedAtMost();
    return perSecond == 0 ? elapsedSeconds : left / perSecond;
  }

  /** Returns the part of its requests so far that each instance may send during the move. */
  private double moveShare() {
    long arrived = arrived();
    double perSecond = arrived / Math.max(0.1, view.elapsed().toMillis() / 1e3);
    double secondsLeft = record.duration().minus(view.elapsed()).toMillis() / 1e3;
    double expected = exposedAtMost() + RATE_MARGIN * perSecond * secondsLeft;
    return expected <= bounds.share() * arrived + bounds.slack()
        ? RolloutRecord.UNLIMITED
        : Math.max(0, bounds.moveAllowance(arrived) - perSecond * COMPLETION_LEAD.toMillis() / 1e3)
            / Math.max(1, arrived);
  }

  private double exposedAtMost() {
    return bounds.trialShare() * arrived() + bounds.trialSlack();
  }

  private boolean hasEnoughAnswers() {
    Collection<Evidence> all = view.evidence().values();
    long exposed = all.stream().mapToLong(Evidence::exposed).sum();
    long answers =
        all.stream()
            .flatMap(seen -> seen.fresh().values().stream())
            .flatMap(tallies -> tallies.values().stream())
            .mapToLong(Tally::answers)
            .sum();
    double intended = bounds.trialShare() * arrived();
    return answers >= Math.min(ENOUGH_ANSWERS, ANSWERED_PART * Math.max(exposed, intended) - 1);
  }

  private long arrived() {
    return view.evidence().values().stream().mapToLong(Evidence::arrived).sum();
  }

  private static Next rolledBack(String reason) {
    return new Next(RolloutPhase.ROLLED_BACK, 0, reason);
  }

  private static Next complete(String reason) {
    return new Next(RolloutPhase.COMPLETE, RolloutRecord.UNLIMITED, reason);
  }
}
