package org.snipewick.broker;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.snipewick.event.EventLog;
import org.snipewick.fleet.FleetMember;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.Tier;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.tcp.TcpPeerNetwork;
import org.snipewick.placement.AttemptResult;
import org.snipewick.placement.LocalPlacer;
import org.snipewick.placement.PlacementDecision;
import org.snipewick.placement.PlacementGrant;
import org.snipewick.placement.PlacementListener;
import org.snipewick.placement.PoolPlacement;
import org.snipewick.placement.QueueOrder;
import org.snipewick.placement.WaitLimit;
import org.snipewick.placement.WaitingRequest;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.time.SystemTimerService;
import org.snipewick.transport.EventloopTimerService;

/** Places requests through a broker over connections on the loopback address. */
class BrokerNetworkTest {
  private static final FailureDomain DOMAIN = FailureDomain.of("d");
  private static final int SLOTS = 1_000;

  private final Eventloop eventloop = EventloopTimerService.monotonicEventloop();
  private final EventloopTimerService timer = EventloopTimerService.of(eventloop);
  private final SystemTimerService peerTimer = SystemTimerService.of("broker-test-timer");
  private final Thread thread = new Thread(eventloop, "broker-test");
  private final Instance requester = new Instance("requester");
  private final Instance broker = new Instance("broker");
  private final List<PlacementGrant> grants = new ArrayList<>();
  private int placed;

  @AfterEach
  void close() {
    requester.network.close();
    broker.network.close();
    peerTimer.close();
    eventloop.execute(() -> eventloop.keepAlive(false));
  }

  /** Guards against messages that the connections between instances do not carry. */
  @Test
  @Timeout(60)
  void shouldCountRequestAtBrokerUntilItEndsWhenInstancesAreConnected() throws Exception {
    eventloop.keepAlive(true);
    thread.setDaemon(true);
    thread.start();
    callOnLoop(this::connect);
    while (callOnLoop(() -> inFlight(broker)) == 0) {
      callOnLoop(this::placeOne);
      TimeUnit.MILLISECONDS.sleep(10);
    }
    while (callOnLoop(grants::size) < placed) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    callOnLoop(
        () -> {
          grants.forEach(grant -> grant.end(AttemptResult.ANSWERED, timer.nanoTime()));
          return null;
        });
    while (callOnLoop(() -> inFlight(broker) + inFlight(requester)) > 0) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(callOnLoop(grants::size)).isEqualTo(placed);
  }

  private <T> T callOnLoop(Supplier<T> step) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    eventloop.execute(
        () -> {
          try {
            result.complete(step.get());
          } catch (RuntimeException | Error defect) {
            result.completeExceptionally(defect);
          }
        });
    return result.get(20, TimeUnit.SECONDS);
  }

  /** Registers both instances in a large fleet, in which the broker is the strongest instance. */
  private Void connect() {
    List<FleetMember> members = new ArrayList<>();
    members.add(requester.member(0.5));
    members.add(broker.member(2));
    for (int index = 0; index < 20; index++) {
      members.add(
          new FleetMember(
              InstanceId.of("other-" + index), DOMAIN, new InetSocketAddress("127.0.0.1", 1)));
    }
    for (Instance instance : List.of(requester, broker)) {
      instance.start(members);
    }
    return null;
  }

  private Void placeOne() {
    placed++;
    long now = timer.nanoTime();
    long useful = now + Duration.ofSeconds(20).toNanos();
    requester.placer.place(
        BrokerFleet.POOL,
        new WaitingRequest("r" + placed, Tier.ONE, now, useful, useful, 10, Set.of()),
        new PlacementListener() {
          @Override
          public void onPlaced(PlacementDecision.Placed decision, PlacementGrant grant) {
            grants.add(grant);
          }

          @Override
          public void onRefused(PlacementDecision.Refused refused) {
            throw new AssertionError(refused);
          }
        });
    return null;
  }

  private static int inFlight(Instance instance) {
    return instance.local.inFlightByEndpoint().values().stream().mapToInt(count -> count).sum();
  }

  private final class Instance {
    private final InstanceId id;
    private final LocalPlacer local;
    private final TcpPeerNetwork network;
    private BrokeredPlacer placer;

    private Instance(String name) {
      id = InstanceId.of(name);
      local =
          LocalPlacer.of(
              () ->
                  PoolPlacement.of(
                      DOMAIN,
                      QueueOrder.byTierOnTimeFirst(),
                      WaitLimit.untilTargetLatency(),
                      new SplittableRandom(1)),
              timer);
      network =
          TcpPeerNetwork.listen(
              id,
              1,
              new InetSocketAddress("127.0.0.1", 0),
              PeerCodec.ofAll(BrokerMessages.MESSAGE_TYPES),
              peerTimer,
              EventLog.none(),
              new SplittableRandom(1));
    }

    private FleetMember member(double cores) {
      return new FleetMember(
          id, DOMAIN, new InetSocketAddress("127.0.0.1", network.port()), OptionalDouble.of(cores));
    }

    private void start(List<FleetMember> members) {
      FleetMember self =
          members.stream().filter(each -> each.instance().equals(id)).findFirst().orElseThrow();
      local.updateEndpoints(
          List.of(
              new RegisteredEndpoint(
                  EndpointId.of("e"), 1, BrokerFleet.POOL, DOMAIN, "127.0.0.1", 1, SLOTS, false)));
      placer =
          BrokeredPlacer.start(
              self,
              local,
              network,
              eventloop,
              timer,
              EventLog.none(),
              new MetricRegistry(),
              new SplittableRandom(2));
      members.forEach(member -> network.setAddress(member.instance(), member.address()));
      placer.setMembers(members);
    }
  }
}
