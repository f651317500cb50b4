package org.snipewick.broker;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.fleet.CandidateChoice;
import org.snipewick.fleet.FleetMember;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.time.TimerService;

/** Brokers that this instance has chosen, one for each pool. Not thread-safe. */
final class BrokerChoices {
  private final FleetMember self;
  private final TimerService timer;
  private final EventLog events;
  private final BrokerCandidates candidates;
  private final Map<PoolName, CandidateChoice> choices = new HashMap<>();
  private final Map<PoolName, InstanceId> recorded = new HashMap<>();

  BrokerChoices(FleetMember self, TimerService timer, EventLog events) {
    this.self = requireNonNull(self, "self");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.candidates = new BrokerCandidates(self);
  }

  /** Replaces the registered instances, of which this one may be missing. */
  void setMembers(List<FleetMember> members) {
    candidates.setMembers(members);
    long now = timer.nanoTime();
    choices.forEach((pool, choice) -> choice.setCandidates(candidates.of(pool), now));
  }

  /** Returns the order of the candidates. */
  BrokerCandidates candidates() {
    return candidates;
  }

  /** Returns the broker of a pool, which may be this instance. */
  InstanceId of(PoolName pool) {
    return choices.computeIfAbsent(pool, this::newChoice).chosen();
  }

  private CandidateChoice newChoice(PoolName pool) {
    CandidateChoice created = new CandidateChoice(self.instance(), timer.nanoTime());
    created.setCandidates(candidates.of(pool), timer.nanoTime());
    return created;
  }

  /** Returns whether an instance is the broker of a pool. */
  boolean isChosen(InstanceId instance) {
    return choices.values().stream().anyMatch(choice -> choice.chosen().equals(instance));
  }

  /** Prefers an instance that has replied to the present choices that rank behind it. */
  void onReply(InstanceId from) {
    long now = timer.nanoTime();
    choices.values().forEach(choice -> choice.onAnswer(from, now));
  }

  /** Replaces an instance, wherever it is chosen, by the next candidate. */
  void replace(InstanceId silent) {
    long now = timer.nanoTime();
    choices.values().forEach(choice -> choice.replace(silent, now));
  }

  /** Returns the preferred candidates that are to be tried again now. */
  Set<InstanceId> preferredToRetry() {
    long now = timer.nanoTime();
    Set<InstanceId> preferred = new HashSet<>();
    choices.values().forEach(choice -> preferred.addAll(choice.preferredToRetry(now)));
    return preferred;
  }

  /** Records which brokers have changed. */
  void recordChanges() {
    if (candidates.areShared()) {
      choices.forEach(
          (pool, choice) -> {
            InstanceId chosen = choice.chosen();
            if (!chosen.equals(recorded.put(pool, chosen))) {
              events.record(
                  EventType.BROKER_CHANGED, pool.value(), Map.of("broker", chosen.value()));
            }
          });
    }
  }
}
