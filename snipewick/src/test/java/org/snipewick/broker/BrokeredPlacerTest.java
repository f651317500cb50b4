package org.snipewick.broker;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.Tier;
import org.snipewick.peer.Frame;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.PeerMessage;
import org.snipewick.placement.AttemptResult;
import org.snipewick.placement.PlacementDecision;
import org.snipewick.registry.RegisteredEndpoint;

/** Compares brokers with instances that place alone and with one queue that sees everything. */
class BrokeredPlacerTest {
  private static final int SLOTS = 7;
  private static final double WORK_MILLIS = 600;
  private static final double[] SPEEDS = {0.55, 1, 2.8};
  private static final Duration LOAD_TIME = Duration.ofSeconds(6);

  @Test
  void shouldPlaceAsBeforeWhenFleetIsSmall() {
    BrokerFleet brokers = play(BrokerFleet.Mode.BROKERS, 8, 13, 1.1);
    BrokerFleet alone = play(BrokerFleet.Mode.ALONE, 8, 13, 1.1);
    assertThat(brokers.sentMessages).isZero();
    assertThat(brokers.worthServed()).isEqualTo(alone.worthServed());
  }

  @ParameterizedTest
  @CsvSource({"59, 66, 0.5", "59, 66, 0.9", "59, 66, 1.3", "105, 45, 0.9", "340, 120, 0.9"})
  void shouldServeNearlyAsMuchAsOneQueueWhenFleetIsLarge(
      int instances, int endpoints, double load) {
    BrokerFleet brokers = play(BrokerFleet.Mode.BROKERS, instances, endpoints, load);
    BrokerFleet oneQueue = play(BrokerFleet.Mode.ONE_QUEUE, instances, endpoints, load);
    BrokerFleet alone = play(BrokerFleet.Mode.ALONE, instances, endpoints, load);
    assertThat(brokers.worthServed()).isGreaterThan(0.95 * oneQueue.worthServed());
    assertThat(brokers.worthServed()).isGreaterThan(alone.worthServed());
    assertThat(brokers.sentMessages / (double) brokers.requests.size()).isLessThan(5);
    assertDecidedOnce(brokers);
    assertThat(longestDecisionWithRoom(brokers)).isLessThan(Duration.ofMillis(10));
  }

  /** A domain with most of the load must get its part of what the others leave. */
  @Test
  void shouldServeNearlyAsMuchAsOneQueueWhenDomainsAreUneven() {
    BrokerFleet brokers = playUneven(BrokerFleet.Mode.BROKERS);
    BrokerFleet oneQueue = playUneven(BrokerFleet.Mode.ONE_QUEUE);
    assertThat(brokers.worthServed()).isGreaterThan(0.95 * oneQueue.worthServed());
    for (int domain = 0; domain < BrokerFleet.DOMAINS; domain++) {
      assertThat(brokers.worthServed(domain)).isGreaterThan(0.9 * brokers.worthServed());
    }
  }

  private static BrokerFleet playUneven(BrokerFleet.Mode mode) {
    BrokerFleet fleet = new BrokerFleet(mode, 59, 1);
    fleet.addEndpoints(66, SLOTS, SPEEDS);
    double mean = (1 + 0.5 + 0.2) / 3;
    fleet.load(LOAD_TIME, 1.3 * 66 * SLOTS * requestsPerSlot() / mean, WORK_MILLIS, 1, 0.5, 0.2);
    fleet.timer.advance(LOAD_TIME.plusSeconds(12));
    return fleet;
  }

  /** A failed broker must cost neither an answer nor a second sending of a request. */
  @ParameterizedTest
  @ValueSource(strings = {"death", "freeze", "long freeze", "partition", "stop"})
  void shouldDecideOnceWhenBrokerFails(String fault) {
    BrokerFleet fleet = fleet(BrokerFleet.Mode.BROKERS, 59, 66, 1.0);
    fleet.timer.advance(Duration.ofSeconds(2));
    InstanceId broker = fleet.brokerOf(0);
    switch (fault) {
      case "death" -> fleet.kill(broker);
      case "partition" -> fleet.cut.add(broker);
      case "stop" -> fleet.processes.get(broker).brokered.stop();
      default -> fleet.freeze(broker);
    }
    fleet.timer.advance(Duration.ofMillis(fault.equals("freeze") ? 300 : 2500));
    if (fleet.frozen.contains(broker)) {
      fleet.wake(broker);
    }
    fleet.timer.advance(Duration.ofMillis(500));
    fleet.cut.clear();
    fleet.timer.advance(Duration.ofSeconds(20));
    fleet.requests.removeIf(request -> request.process.member.instance().equals(broker));
    assertDecidedOnce(fleet);
    assertThat(longestDecisionWithRoom(fleet)).isLessThan(Duration.ofMillis(60));
  }

  /** Grants that a broker placed before its failure must still be counted, and only once. */
  @ParameterizedTest
  @ValueSource(strings = {"none", "death", "stop", "partition"})
  void shouldCountEachRequestOnceWhenBrokerFails(String fault) {
    BrokerFleet fleet = fleet(BrokerFleet.Mode.BROKERS, 59, 66, 0.9);
    fleet.timer.advance(Duration.ofSeconds(2));
    InstanceId broker = fleet.brokerOf(0);
    if (fault.equals("death")) {
      fleet.kill(broker);
    } else if (fault.equals("stop")) {
      fleet.processes.get(broker).brokered.stop();
    } else if (fault.equals("partition")) {
      fleet.cut.add(broker);
    }
    fleet.timer.advance(Duration.ofSeconds(1).plusMillis(500));
    fleet.cut.clear();
    fleet.timer.advance(Duration.ofSeconds(1));
    assertThat(fleet.inFlight()).isGreaterThan(200);
    // Messages that are under way make a difference of a few requests.
    assertThat(fleet.countedInFlight()).isBetween(fleet.inFlight() - 3, fleet.inFlight() + 3);
    fleet.timer.advance(Duration.ofSeconds(20));
    assertThat(fleet.inFlight()).isZero();
    assertThat(fleet.countedInFlight()).isZero();
  }

  /** An instance must not send to an endpoint that it knows to be leaving, whatever is granted. */
  @Test
  void shouldNotSendToLeavingEndpointWhenBrokerDoesNotKnow() {
    BrokerFleet fleet = fleet(BrokerFleet.Mode.BROKERS, 59, 66, 0.5);
    EndpointId leaving = EndpointId.of("e0");
    List<RegisteredEndpoint> changed =
        fleet.listed.stream()
            .map(each -> each.id().equals(leaving) ? each.asLeaving() : each)
            .toList();
    Set<InstanceId> brokers = Set.of(fleet.brokerOf(0), fleet.brokerOf(1), fleet.brokerOf(2));
    fleet.processes.forEach(
        (instance, process) -> {
          if (!brokers.contains(instance)) {
            process.local.updateEndpoints(changed);
          }
        });
    fleet.timer.advance(Duration.ofSeconds(20));
    assertThat(fleet.requests)
        .filteredOn(request -> leaving.equals(request.endpoint))
        .allMatch(request -> brokers.contains(request.process.member.instance()));
    assertDecidedOnce(fleet);
  }

  /** Guards against brokers that grant an endpoint which the filter of a request excludes. */
  @Test
  void shouldPlaceByOwnQueueWhenRequestIsRestrictedToSomeEndpoints() {
    BrokerFleet fleet = new BrokerFleet(BrokerFleet.Mode.BROKERS, 59, 1);
    fleet.filter = endpoint -> endpoint.id().value().endsWith("3");
    fleet.addEndpoints(66, SLOTS, SPEEDS);
    fleet.load(LOAD_TIME, 0.05 * 66 * SLOTS * requestsPerSlot(), WORK_MILLIS, 1);
    fleet.timer.advance(LOAD_TIME.plusSeconds(12));
    assertThat(fleet.sentMessages).isZero();
    assertDecidedOnce(fleet);
    assertThat(fleet.requests)
        .filteredOn(request -> !request.isRefused)
        .isNotEmpty()
        .allMatch(request -> request.endpoint.value().endsWith("3"));
  }

  /** Messages must arrive as they were sent, in the short form without names of fields. */
  @Test
  void shouldKeepContentWhenMessagesAreEncoded() {
    PeerCodec codec = PeerCodec.ofAll(BrokerMessages.MESSAGE_TYPES);
    BrokerMessages.ToBroker question =
        new BrokerMessages.ToBroker(
            7,
            0,
            true,
            List.of(
                new BrokerMessages.PlacementRequest(
                    1,
                    BrokerFleet.POOL,
                    Tier.TWO,
                    "team",
                    3,
                    -4,
                    500,
                    60,
                    Set.of(EndpointId.of("e1")))),
            List.of(new BrokerMessages.Progress(2, List.of(new BrokerMessages.Load(1, 0, 7, 0)))),
            List.of(new BrokerMessages.End(3, AttemptResult.ANSWERED, 5, 0, List.of())),
            List.of(4L));
    assertThat(roundTrip(codec, question)).isEqualTo(question);
    BrokerMessages.FromBroker answer =
        new BrokerMessages.FromBroker(
            7,
            9,
            0,
            List.of(new BrokerMessages.Grant(1, EndpointId.of("e2"), 3, 0, true)),
            List.of(new BrokerMessages.Refusal(2, PlacementDecision.Reason.QUEUE_TOO_LONG, 400)),
            List.of(3L));
    assertThat(roundTrip(codec, answer)).isEqualTo(answer);
  }

  private static PeerMessage roundTrip(PeerCodec codec, PeerMessage message) {
    return ((Frame.Send) codec.decode(codec.encode(new Frame.Send(message)))).message();
  }

  private static BrokerFleet play(
      BrokerFleet.Mode mode, int instances, int endpoints, double load) {
    BrokerFleet fleet = fleet(mode, instances, endpoints, load);
    fleet.timer.advance(LOAD_TIME.plusSeconds(12));
    return fleet;
  }

  /** Starts a fleet under a load that is given as a part of the capacity of its endpoints. */
  private static BrokerFleet fleet(
      BrokerFleet.Mode mode, int instances, int endpoints, double load) {
    BrokerFleet fleet = new BrokerFleet(mode, instances, 1);
    fleet.addEndpoints(endpoints, SLOTS, SPEEDS);
    fleet.load(LOAD_TIME, load * endpoints * SLOTS * requestsPerSlot(), WORK_MILLIS, 1);
    return fleet;
  }

  private static double requestsPerSlot() {
    double sum = 0;
    for (double speed : SPEEDS) {
      sum += 1000 / WORK_MILLIS / speed;
    }
    return sum / SPEEDS.length;
  }

  private static void assertDecidedOnce(BrokerFleet fleet) {
    assertThat(fleet.requests).hasSizeGreaterThan(100);
    assertThat(fleet.requests).allMatch(BrokerFleet.Request::isDecided);
    assertThat(fleet.requests).allMatch(request -> request.sent + (request.isRefused ? 1 : 0) == 1);
  }

  private static Duration longestDecisionWithRoom(BrokerFleet fleet) {
    return Duration.ofNanos(
        fleet.requests.stream()
            .filter(request -> request.hadRoom)
            .mapToLong(request -> request.decidedNanos - request.arrivedNanos)
            .max()
            .orElse(0));
  }
}
