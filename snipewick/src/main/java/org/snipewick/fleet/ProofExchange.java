package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.route.PlanController;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/**
 * Lets an instance that cannot reach the store go on honouring keys as long as another one can: it
 * asks others for the age of their proof. A proof counts from the sending of the question, so that
 * a late answer makes it older and never younger. To be used on one thread.
 */
public final class ProofExchange {
  /** Several questions fit into the shortest bound on the age of a proof. */
  private static final Duration PERIOD = Duration.ofMillis(400);

  private static final Duration TIMEOUT = Duration.ofMillis(300);
  private static final long NO_PLAN = -1;

  private final PeerNetwork network;
  private final Executor executor;
  private final TimerService timer;
  private final PlanController plans;
  private final Supplier<Set<InstanceId>> others;
  private final RandomGenerator random;
  private TimerService.Subscription questions = () -> {};

  private ProofExchange(
      PeerNetwork network,
      Executor executor,
      TimerService timer,
      PlanController plans,
      Supplier<Set<InstanceId>> others,
      RandomGenerator random) {
    this.network = requireNonNull(network, "network");
    this.executor = requireNonNull(executor, "executor");
    this.timer = requireNonNull(timer, "timer");
    this.plans = requireNonNull(plans, "plans");
    this.others = requireNonNull(others, "others");
    this.random = requireNonNull(random, "random");
  }

  /**
   * Starts to answer the questions of others.
   *
   * @param network connections to other instances
   * @param executor runs tasks on the thread of the exchange
   * @param timer source of time
   * @param plans plan in force and its proof
   * @param others gives the other instances
   * @param random randomness for the choice among them
   * @return exchange that asks nothing yet
   */
  public static ProofExchange start(
      PeerNetwork network,
      Executor executor,
      TimerService timer,
      PlanController plans,
      Supplier<Set<InstanceId>> others,
      RandomGenerator random) {
    ProofExchange exchange = new ProofExchange(network, executor, timer, plans, others, random);
    network.handle(FleetMessages.ProofQuery.class, (from, query) -> exchange.answer());
    return exchange;
  }

  /** Begins to ask others, as the store cannot be read. */
  public void storeLost() {
    questions.cancel();
    questions = timer.every(PERIOD, this::ask);
    ask();
  }

  /** Ends the questions. */
  public void storeRegained() {
    questions.cancel();
  }

  private CompletableFuture<PeerMessage> answer() {
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    executor.execute(
        () ->
            answer.complete(
                new FleetMessages.Proof(
                    plans.current().map(plan -> plan.version()).orElse(NO_PLAN),
                    plans.proofAgeMillis())));
    return answer;
  }

  private void ask() {
    List<InstanceId> candidates = List.copyOf(others.get());
    if (candidates.isEmpty()) {
      return;
    }
    InstanceId other = candidates.get(random.nextInt(candidates.size()));
    Moment sentAt = Moment.now(timer);
    CompletableFuture<Void> unused =
        network
            .call(other, new FleetMessages.ProofQuery(), TIMEOUT)
            .handle(
                (answer, thrown) -> {
                  if (answer instanceof FleetMessages.Proof proof) {
                    executor.execute(() -> accept(proof, sentAt));
                  }
                  return null;
                });
  }

  private void accept(FleetMessages.Proof proof, Moment sentAt) {
    if (proof.version() != NO_PLAN) {
      plans.confirm(proof.version(), sentAt.minus(Duration.ofMillis(proof.ageMillis())));
    }
  }
}
