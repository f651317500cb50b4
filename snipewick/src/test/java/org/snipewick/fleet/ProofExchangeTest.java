package org.snipewick.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import org.snipewick.event.EventLog;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.route.PlanController;
import org.snipewick.route.Plans;
import org.snipewick.time.Moment;
import org.snipewick.time.VirtualTimerService;

class ProofExchangeTest {
  private static final InstanceId PEER = InstanceId.of("linz.2");

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final PlanController plans =
      PlanController.of(timer, EventLog.none(), Duration.ofSeconds(4));
  private final ScriptedNetwork network = new ScriptedNetwork();
  private final ProofExchange exchange =
      ProofExchange.start(
          network, Runnable::run, timer, plans, () -> Set.of(PEER), new SplittableRandom(1));

  @Test
  void shouldStayProvenWhenPeerReachesStore() {
    plans.accept(Plans.plan(5), Moment.now(timer));
    exchange.onStoreUnavailable();
    for (int second = 0; second < 20; second++) {
      timer.advance(Duration.ofSeconds(1));
      network.answerAll(new FleetMessages.Proof(5, 300));
      assertThat(plans.hasFreshProof()).isTrue();
    }
  }

  @Test
  void shouldCountProofAgeFromQueryWhenAnswerIsLate() {
    plans.accept(Plans.plan(5), Moment.now(timer));
    timer.advance(Duration.ofSeconds(3));
    exchange.onStoreUnavailable();
    timer.advance(Duration.ofSeconds(3));
    network.answerFirst(new FleetMessages.Proof(5, 1_500));
    assertThat(plans.hasFreshProof()).isFalse();
  }

  @Test
  void shouldNotBeProvenWhenPeerHasNewerVersion() {
    plans.accept(Plans.plan(5), Moment.now(timer));
    timer.advance(Duration.ofSeconds(5));
    exchange.onStoreUnavailable();
    network.answerAll(new FleetMessages.Proof(6, 0));
    assertThat(plans.hasFreshProof()).isFalse();
  }

  @Test
  void shouldStopQueriesWhenStoreIsReadableAgain() {
    exchange.onStoreUnavailable();
    exchange.onStoreAvailableAgain();
    network.queries.clear();
    timer.advance(Duration.ofSeconds(5));
    assertThat(network.queries).isEmpty();
  }

  @Test
  void shouldAnswerWithItsProofWhenQueried() {
    plans.accept(Plans.plan(8), Moment.now(timer));
    timer.advance(Duration.ofMillis(120));
    assertThat(network.receive(new FleetMessages.ProofQuery()))
        .isEqualTo(new FleetMessages.Proof(8, 120));
  }

  private static final class ScriptedNetwork implements PeerNetwork {
    private final Deque<CompletableFuture<PeerMessage>> queries = new ArrayDeque<>();
    private final Map<Class<?>, BiFunction<InstanceId, PeerMessage, CompletableFuture<?>>>
        handlers = new HashMap<>();

    void answerAll(PeerMessage answer) {
      while (!queries.isEmpty()) {
        answerFirst(answer);
      }
    }

    void answerFirst(PeerMessage answer) {
      queries.remove().complete(answer);
    }

    Object receive(PeerMessage query) {
      return handlers.get(query.getClass()).apply(PEER, query).join();
    }

    @Override
    public CompletableFuture<PeerMessage> call(
        InstanceId to, PeerMessage message, Duration timeout) {
      queries.add(new CompletableFuture<>());
      return queries.getLast();
    }

    @Override
    public void send(InstanceId to, PeerMessage message) {}

    @Override
    public <T extends PeerMessage> void handle(
        Class<T> type,
        BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> handler) {
      handlers.put(type, (from, message) -> handler.apply(from, type.cast(message)));
    }

    @Override
    public void setAddress(InstanceId instance, InetSocketAddress address) {}
  }
}
