package org.snipewick.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.catalogue.Catalogue;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.catalogue.Entry;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;
import org.snipewick.membership.SettableMembership;
import org.snipewick.peer.Frame;
import org.snipewick.peer.InMemoryPeers;
import org.snipewick.peer.MessageBytes;
import org.snipewick.peer.MeteredNetwork;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.PeerMessage;
import org.snipewick.time.VirtualTimerService;

class LimitBytesTest {
  private static final TeamName TEAM = TeamName.of("dispatchers");
  private static final String[] NAMES = {"wien-a.1", "wien-a.2", "wien-b.1", "wien-b.2"};
  private static final int TOKENS_PER_REQUEST = 460;
  private static final int ROUNDS = 10;
  private static final Duration REQUEST_DURATION = Duration.ofSeconds(5);

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final MessageBytes bytes = new MessageBytes();
  private final Map<String, LeasedTeamLimits> limits = new HashMap<>();

  LimitBytesTest() {
    InMemoryPeers peers = new InMemoryPeers(timer, Duration.ofMillis(1));
    PeerCodec codec = PeerCodec.ofAll(LimitMessages.MESSAGE_TYPES);
    Entry.Team team = new Entry.Team(TEAM.value(), "owner", Tier.ONE, "00", 1_000, 10, 20);
    for (String name : NAMES) {
      InstanceId id = InstanceId.of(name);
      limits.put(
          name,
          LeasedTeamLimits.start(
              new SettableMembership(SettableMembership.viewOf(name, NAMES)),
              new MeteredNetwork(id, peers.join(id), codec, bytes),
              timer,
              new FixedCatalogue(Catalogue.ofAll(1, List.of(team)))));
    }
  }

  static List<PeerMessage> messages() {
    return List.of(
        new LimitMessages.Demands(List.of(new LimitMessages.Demand(TEAM, 0.5f, 0.25f))),
        new LimitMessages.Shares(List.of(new LimitMessages.Share(TEAM, 0.5f))));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void shouldEqualOriginalWhenEncodedAndDecoded(PeerMessage message) {
    PeerCodec codec = PeerCodec.ofAll(LimitMessages.MESSAGE_TYPES);
    Frame frame = new Frame.Send(message);
    assertThat(codec.decode(codec.encode(frame))).isEqualTo(frame);
  }

  // Number of instances that receive a request per round; bound on the bytes sent per request.
  @ParameterizedTest
  @CsvSource({"1, 300", "3, 450"})
  void shouldBoundBytesPerRequestWhenRequestsAreRare(int instances, int maxBytes) {
    sendRequestToEach(instances);
    bytes.clear();
    for (int i = 0; i < ROUNDS; i++) {
      sendRequestToEach(instances);
    }

    // Each message is counted at its sender and at its receiver.
    long sentBytes = bytes.all().values().stream().mapToLong(Long::longValue).sum() / 2;
    long bytesPerRequest = sentBytes / ROUNDS / instances;
    System.out.println("bytes of limit messages per request at a low rate: " + bytesPerRequest);
    assertThat(bytesPerRequest).isLessThan(maxBytes);
  }

  private void sendRequestToEach(int instances) {
    for (String name : List.of(NAMES).subList(0, instances)) {
      LeasedTeamLimits receiver = limits.get(name);
      assertThat(receiver.tryAcquire(TEAM, TOKENS_PER_REQUEST)).isEmpty();
      timer.after(
          REQUEST_DURATION, () -> receiver.release(TEAM, TOKENS_PER_REQUEST, TOKENS_PER_REQUEST));
    }
    timer.advance(Duration.ofSeconds(20));
  }

  private record FixedCatalogue(Catalogue current) implements CatalogueSource {
    @Override
    public void subscribe(Consumer<Catalogue> listener) {
      // The catalogue does not change.
    }
  }
}
