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
 * Exchange of proofs that the routing plan in force is the newest one. An instance that cannot read
 * the store queries its peers for the age of their proofs, and thus continues to accept keys as
 * long as a peer can read the store. The time of a proof is calculated from the sending of the
 * query, so that a delayed answer makes a proof older and never younger. Not thread-safe: all calls
 * must run on one thread.
 */
public final class ProofExchange {
  /** Short enough for several queries within the lowest permitted maximum age of a proof. */
  private static final Duration QUERY_PERIOD = Duration.ofMillis(400);

  private static final Duration QUERY_TIMEOUT = Duration.ofMillis(300);
  private static final long NO_PLAN_VERSION = -1;

  private final PeerNetwork network;
  private final Executor executor;
  private final TimerService timer;
  private final PlanController plans;
  private final Supplier<Set<InstanceId>> peers;
  private final RandomGenerator random;
  private TimerService.Subscription queryTimer = () -> {};

  private ProofExchange(
      PeerNetwork network,
      Executor executor,
      TimerService timer,
      PlanController plans,
      Supplier<Set<InstanceId>> peers,
      RandomGenerator random) {
    this.network = requireNonNull(network, "network");
    this.executor = requireNonNull(executor, "executor");
    this.timer = requireNonNull(timer, "timer");
    this.plans = requireNonNull(plans, "plans");
    this.peers = requireNonNull(peers, "peers");
    this.random = requireNonNull(random, "random");
  }

  /**
   * Creates an exchange that answers the queries of peers.
   *
   * @param network connections to peers, whose handler of queries is set
   * @param executor executor that runs tasks on the thread of the exchange
   * @param timer source of time
   * @param plans plan in force and its proof
   * @param peers supplies the peers
   * @param random source of randomness for the choice of a peer
   * @return exchange that sends no queries yet
   */
  public static ProofExchange start(
      PeerNetwork network,
      Executor executor,
      TimerService timer,
      PlanController plans,
      Supplier<Set<InstanceId>> peers,
      RandomGenerator random) {
    ProofExchange exchange = new ProofExchange(network, executor, timer, plans, peers, random);
    network.handle(FleetMessages.ProofQuery.class, (from, query) -> exchange.answer());
    return exchange;
  }

  /** Starts to query peers, because the store cannot be read. */
  public void onStoreUnavailable() {
    queryTimer.cancel();
    queryTimer = timer.every(QUERY_PERIOD, this::sendQuery);
    sendQuery();
  }

  /** Stops the queries, because the store can be read again. */
  public void onStoreAvailableAgain() {
    queryTimer.cancel();
  }

  private CompletableFuture<PeerMessage> answer() {
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    executor.execute(
        () ->
            answer.complete(
                new FleetMessages.Proof(
                    plans.current().map(plan -> plan.version()).orElse(NO_PLAN_VERSION),
                    plans.proofAgeMillis())));
    return answer;
  }

  private void sendQuery() {
    List<InstanceId> candidates = List.copyOf(peers.get());
    if (candidates.isEmpty()) {
      return;
    }
    InstanceId peer = candidates.get(random.nextInt(candidates.size()));
    Moment sentAt = Moment.now(timer);
    CompletableFuture<Void> unused =
        network
            .call(peer, new FleetMessages.ProofQuery(), QUERY_TIMEOUT)
            .handle(
                (answer, thrown) -> {
                  if (answer instanceof FleetMessages.Proof proof) {
                    executor.execute(() -> accept(proof, sentAt));
                  }
                  return null;
                });
  }

  private void accept(FleetMessages.Proof proof, Moment sentAt) {
    if (proof.version() != NO_PLAN_VERSION) {
      plans.confirm(proof.version(), sentAt.minus(Duration.ofMillis(proof.ageMillis())));
    }
  }
}
