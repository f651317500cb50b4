package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.membership.LostProcess;
import org.snipewick.peer.Frame;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.PeerMessage;

class IdempotencyMessagesTest {
  private static final RequestId ID =
      RequestId.of(InstanceId.of("wien-a.1"), 1_800_000_000_000L, 9);
  private static final KeyedRequest REQUEST =
      new KeyedRequest(
          ID, TeamName.of("drivers"), "0192f0c1-0000-7000-8000-000000000001", "0123abcd", false);
  private static final StoredAnswer ANSWER = new StoredAnswer(200, "text/plain", "answer");
  private static final KeyRecord CLAIMED = KeyRecord.claimed(REQUEST, 1_800_000_000_001L);
  private static final KeyRecord RAN =
      CLAIMED.withStatus(KeyRecord.Status.RAN, 2).withAnswer(Optional.of(ANSWER));

  private final PeerCodec codec = PeerCodec.ofAll(IdempotencyMessages.MESSAGE_TYPES);

  static List<PeerMessage> messages() {
    MemberProcess process = new MemberProcess(ID.instance(), 1);
    Coverage coverage = new Coverage(true, 5);
    return Stream.<PeerMessage>of(
            new IdempotencyMessages.Claim(REQUEST),
            new IdempotencyMessages.Lookup(REQUEST),
            new IdempotencyMessages.StateReply(new KeyState.Fresh()),
            new IdempotencyMessages.StateReply(new KeyState.InProgress()),
            new IdempotencyMessages.StateReply(new KeyState.Unknown()),
            new IdempotencyMessages.StateReply(new KeyState.RanWithoutAnswer()),
            new IdempotencyMessages.StateReply(new KeyState.Ran(ANSWER)),
            new IdempotencyMessages.WitnessRequest(CLAIMED, Optional.of(ID)),
            new IdempotencyMessages.WitnessReply(false, Optional.of(RAN)),
            new IdempotencyMessages.KeyQuery("drivers/key", true),
            new IdempotencyMessages.KeyReport(
                Optional.of(CLAIMED),
                coverage,
                process,
                List.of(process),
                List.of(new LostProcess(ID.instance(), 1, 2))),
            new IdempotencyMessages.RequestStatusQuery(ID),
            new IdempotencyMessages.RequestStatusReport(
                KeyRecord.Status.RELEASED, Optional.empty()),
            new IdempotencyMessages.Update(RAN, true),
            new IdempotencyMessages.HandoverRecords(List.of(CLAIMED, RAN)),
            new IdempotencyMessages.HandoverComplete(1, coverage),
            new IdempotencyMessages.Acknowledged(true))
        .toList();
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
    assertThat(Set.copyOf(IdempotencyMessages.MESSAGE_TYPES.values())).isEqualTo(sent);
  }

  /** The bound is given in docs/design/0010-at-most-once.md for a request without duplicates. */
  @Test
  void shouldStayWithinByteBoundWhenOneRequestIsClaimedAndCompleted() {
    int bytes =
        Stream.<PeerMessage>of(
                new IdempotencyMessages.Claim(REQUEST),
                new IdempotencyMessages.WitnessRequest(CLAIMED, Optional.empty()),
                new IdempotencyMessages.WitnessReply(false, Optional.empty()),
                new IdempotencyMessages.StateReply(new KeyState.Fresh()),
                new IdempotencyMessages.Update(RAN.withAnswer(Optional.empty()), true),
                new IdempotencyMessages.Acknowledged(true),
                new IdempotencyMessages.Update(RAN.withAnswer(Optional.empty()), false))
            .mapToInt(message -> codec.encode(new Frame.Call(1_000_000, message)).length)
            .sum();
    System.out.println("bytes of a keyed request without its answer: " + bytes);
    assertThat(bytes).isLessThan(600);
  }
}
