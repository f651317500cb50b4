package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/**
 * Holder of the plan in force, which is the newest routing plan that this process has received, and
 * of its proof, which is the latest moment for which the store or a peer confirmed that no newer
 * version existed. The version never decreases within a process. Thread-safe.
 */
public final class PlanController {
  private final TimerService timer;
  private final EventLog events;
  private final Duration maxProofAge;
  private final AtomicReference<ProvenPlan> inForce = new AtomicReference<>();
  private final List<Consumer<RoutingPlan>> subscribers = new CopyOnWriteArrayList<>();

  private PlanController(TimerService timer, EventLog events, Duration maxProofAge) {
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.maxProofAge = requireNonNull(maxProofAge, "maxProofAge");
  }

  /** A plan and its proof: the latest moment for which it was confirmed to be the newest. */
  private record ProvenPlan(RoutingPlan plan, Moment provenAt) {}

  /**
   * Creates a controller without a plan.
   *
   * @param timer source of time
   * @param events log to which each new version is written
   * @param maxProofAge age from which a proof is stale and requests with a key are refused
   * @return controller
   */
  public static PlanController of(TimerService timer, EventLog events, Duration maxProofAge) {
    return new PlanController(timer, events, maxProofAge);
  }

  /**
   * Puts a plan into force and notifies the subscribers. Ignores a version older than the one in
   * force; the same version only renews the proof.
   *
   * @param plan plan
   * @param provenAt moment at which the request was sent whose answer contained the plan
   */
  public synchronized void accept(RoutingPlan plan, Moment provenAt) {
    requireNonNull(plan, "plan");
    requireNonNull(provenAt, "provenAt");
    ProvenPlan current = inForce.get();
    if (current != null && current.plan().version() >= plan.version()) {
      confirm(plan.version(), provenAt);
      return;
    }
    inForce.set(new ProvenPlan(plan, provenAt));
    events.record(
        EventType.PLAN_IN_FORCE,
        "",
        Map.of("version", plan.version(), "proofAgeMillis", ageMillis(provenAt)));
    subscribers.forEach(subscriber -> subscriber.accept(plan));
  }

  /**
   * Records that a version was still the newest at a moment. Ignores other versions than the one in
   * force, and proofs older than the latest one.
   *
   * @param version version that the answer contained
   * @param provenAt moment at which the request was sent whose answer contained the version
   */
  public synchronized void confirm(long version, Moment provenAt) {
    ProvenPlan current = inForce.get();
    if (current != null
        && current.plan().version() == version
        && provenAt.monotonicNanos() - current.provenAt().monotonicNanos() > 0) {
      inForce.set(new ProvenPlan(current.plan(), provenAt));
    }
  }

  /**
   * Records that the plan in force was still the newest at a moment. Does nothing without a plan.
   *
   * @param provenAt moment at which the request was sent whose answer contained no newer version
   */
  public void confirm(Moment provenAt) {
    current().ifPresent(plan -> confirm(plan.version(), provenAt));
  }

  /**
   * Returns the plan in force.
   *
   * @return newest plan received; empty before the first one
   */
  public Optional<RoutingPlan> current() {
    return Optional.ofNullable(inForce.get()).map(ProvenPlan::plan);
  }

  /**
   * Returns whether requests with a key may run. A key may have been revoked since the proof, and
   * must not be accepted for longer than operators allow.
   *
   * @return whether the latest proof of the plan in force is fresh; false without a plan
   */
  public boolean hasFreshProof() {
    ProvenPlan current = inForce.get();
    return current != null
        && Moment.now(timer).since(current.provenAt()).compareTo(maxProofAge) < 0;
  }

  /**
   * Returns the age of the latest proof that the plan in force is the newest.
   *
   * @return age in milliseconds; -1 without a plan
   */
  public long proofAgeMillis() {
    ProvenPlan current = inForce.get();
    return current == null ? -1 : ageMillis(current.provenAt());
  }

  /**
   * Adds a subscriber.
   *
   * @param subscriber receives each plan that comes into force from now on, on the thread that
   *     accepts it
   */
  public void subscribe(Consumer<RoutingPlan> subscriber) {
    subscribers.add(requireNonNull(subscriber, "subscriber"));
  }

  private long ageMillis(Moment moment) {
    return Moment.now(timer).since(moment).toMillis();
  }
}
