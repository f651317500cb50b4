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
 * Keeps the newest known routing plan and when it was last proved to be the newest. Versions never
 * go back within a process.
 */
public final class PlanController {
  private final TimerService timer;
  private final EventLog events;
  private final Duration longestProof;
  private final AtomicReference<PlanInForce> inForce = new AtomicReference<>();
  private final List<Consumer<RoutingPlan>> subscribers = new CopyOnWriteArrayList<>();

  private PlanController(TimerService timer, EventLog events, Duration longestProof) {
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.longestProof = requireNonNull(longestProof, "longestProof");
  }

  /** A plan with the moment since which it is not known to be the newest. */
  private record PlanInForce(RoutingPlan plan, Moment provenAt) {}

  /**
   * Creates a controller without a plan.
   *
   * @param timer source of time
   * @param events log that gets each version
   * @param longestProof time for which a proof lets requests with a key run
   * @return controller
   */
  public static PlanController of(TimerService timer, EventLog events, Duration longestProof) {
    return new PlanController(timer, events, longestProof);
  }

  /**
   * Takes a plan that was the newest at a moment. An older version than the one in force is
   * ignored.
   *
   * @param plan plan
   * @param provenAt moment at which the call was sent whose answer showed the plan
   */
  public synchronized void accept(RoutingPlan plan, Moment provenAt) {
    requireNonNull(plan, "plan");
    requireNonNull(provenAt, "provenAt");
    PlanInForce present = inForce.get();
    if (present != null && present.plan().version() >= plan.version()) {
      confirm(plan.version(), provenAt);
      return;
    }
    inForce.set(new PlanInForce(plan, provenAt));
    events.record(
        EventType.PLAN_IN_FORCE,
        "",
        Map.of("version", plan.version(), "proofAgeMillis", ageMillis(provenAt)));
    subscribers.forEach(subscriber -> subscriber.accept(plan));
  }

  /**
   * Notes that a version was still the newest at a moment.
   *
   * @param version version that was seen
   * @param provenAt moment at which the call was sent whose answer showed it
   */
  public synchronized void confirm(long version, Moment provenAt) {
    PlanInForce present = inForce.get();
    if (present != null
        && present.plan().version() == version
        && provenAt.nanos() - present.provenAt().nanos() > 0) {
      inForce.set(new PlanInForce(present.plan(), provenAt));
    }
  }

  /**
   * Notes that the plan in force was still the newest at a moment.
   *
   * @param provenAt moment at which the call was sent whose answer showed no newer version
   */
  public void confirm(Moment provenAt) {
    current().ifPresent(plan -> confirm(plan.version(), provenAt));
  }

  /**
   * Returns the plan in force.
   *
   * @return newest known plan; empty before the first one
   */
  public Optional<RoutingPlan> current() {
    return Optional.ofNullable(inForce.get()).map(PlanInForce::plan);
  }

  /**
   * Tells whether requests with a key may run: a key that was taken away since the proof must not
   * be honoured for longer than operators allow.
   *
   * @return whether the plan in force was proved to be the newest lately
   */
  public boolean isProven() {
    PlanInForce present = inForce.get();
    return present != null
        && Moment.now(timer).since(present.provenAt()).compareTo(longestProof) < 0;
  }

  /**
   * Returns how long ago the plan in force was last proved to be the newest.
   *
   * @return age in milliseconds; -1 without a plan
   */
  public long proofAgeMillis() {
    PlanInForce present = inForce.get();
    return present == null ? -1 : ageMillis(present.provenAt());
  }

  /**
   * Subscribes to new versions.
   *
   * @param subscriber gets each plan that comes into force from now on
   */
  public void subscribe(Consumer<RoutingPlan> subscriber) {
    subscribers.add(requireNonNull(subscriber, "subscriber"));
  }

  private long ageMillis(Moment moment) {
    return Moment.now(timer).since(moment).toMillis();
  }
}
