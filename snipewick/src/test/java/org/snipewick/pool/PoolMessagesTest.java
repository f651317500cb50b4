package org.snipewick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;
import org.snipewick.peer.Frame;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.PeerMessage;

class PoolMessagesTest {
  private static final int LENGTH_BYTES = 4;
  private static final RequestId ID =
      RequestId.of(InstanceId.of("wien-a.1"), 1_800_000_000_000L, 1_000_000);
  private static final PoolName POOL = PoolName.of("planner");
  private static final EndpointId ENDPOINT = EndpointId.of("wickpool-7");
  private static final WorkRequest WORK =
      new WorkRequest(
          ID, TeamName.of("dispatchers"), POOL, Tier.ONE, 900, 300, List.of(), 3, 20_000);
  private static final EndpointStatus STATUS =
      new EndpointStatus(
          ENDPOINT,
          "10.0.12.34",
          8000,
          EndpointStatus.State.LIVE,
          Tier.FOUR,
          16,
          65_536,
          3,
          0,
          9_000,
          131_072);
  private static final PoolMessages.Offer OFFER = new PoolMessages.Offer(WORK);
  private static final PoolMessages.Decided GRANT =
      new PoolMessages.Decided(POOL, new Decision.Grant(ID, ENDPOINT, 500), Optional.of(STATUS));
  private static final PoolMessages.Report FIRST_TOKEN =
      new PoolMessages.Report(POOL, new WorkEvent.FirstToken(ID, 320));
  private static final PoolMessages.Report FINISHED =
      new PoolMessages.Report(POOL, new WorkEvent.Finished(ID, WorkEvent.Result.COMPLETE, 300));

  private final PeerCodec codec = PeerCodec.ofAll(PoolMessages.MESSAGE_TYPES);

  static List<PeerMessage> messages() {
    return List.of(
        OFFER,
        GRANT,
        new PoolMessages.Decided(
            POOL, new Decision.Refuse(ID, FailureType.SHED, 900), Optional.empty()),
        new PoolMessages.Decided(
            POOL, new Decision.Cancel(ID, FailureType.DEADLINE_EXCEEDED), Optional.empty()),
        FIRST_TOKEN,
        FINISHED,
        new PoolMessages.Report(POOL, new WorkEvent.Progress(ID, 12)),
        new PoolMessages.Report(POOL, new WorkEvent.Withdrawn(ID)),
        new PoolMessages.Report(POOL, new WorkEvent.Adopted(WORK, ENDPOINT, 5)),
        new PoolMessages.Heartbeat(POOL, 1_800_000_000_000L, List.of(1L), List.of(2L), List.of(9)),
        new PoolMessages.UnknownRequests(POOL, List.of(ID)));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void shouldBeEqualWhenEncodedAndDecoded(PeerMessage message) {
    Frame frame = new Frame.Send(message);
    assertThat(codec.decode(codec.encode(frame))).isEqualTo(frame);
  }

  @Test
  void shouldBeRegisteredWhenSent() {
    Set<Class<?>> sent = messages().stream().map(PeerMessage::getClass).collect(Collectors.toSet());
    assertThat(Set.copyOf(PoolMessages.MESSAGE_TYPES.values())).isEqualTo(sent);
  }

  /**
   * The bound is that of docs/CAPACITY.md for the messages of a request without an idempotency key.
   */
  @Test
  void shouldStayWithinBoundOfBytesWhenOneRequestIsServed() {
    int bytes =
        Stream.of(OFFER, GRANT, FIRST_TOKEN, FINISHED)
            .mapToInt(message -> LENGTH_BYTES + codec.encode(new Frame.Send(message)).length)
            .sum();
    System.out.println("bytes of a request between entry and scheduler: " + bytes);
    assertThat(bytes).isLessThan(400);
  }
}
