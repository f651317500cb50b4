package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.peer.Frame;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.PeerMessage;

/** Size of the messages for one request with a key, with values as long as in production. */
class KeyedRequestBytesTest {
  private static final int LENGTH_PREFIX_BYTES = 4;
  private static final KeyedRequest REQUEST =
      new KeyedRequest(
          RequestId.of(InstanceId.of("wien-a.1"), 1_800_000_000_000L, 1_000_000),
          TeamName.of("drivers"),
          "0192f0c1-0000-7000-8000-000000000001",
          "jGl25bVBBBW96Qi9Te4V3w",
          false);

  private final PeerCodec codec = PeerCodec.ofAll(IdempotencyMessages.MESSAGE_TYPES);

  @Test
  void shouldStayWithinByteBoundWhenOneRequestIsClaimedAndCompleted() {
    KeyRecord claimed = KeyRecord.claimed(REQUEST, 1_800_000_000_001L);
    KeyRecord ran = claimed.withStatus(KeyRecord.Status.RAN, 1_800_000_003_001L);
    int bytes =
        Stream.<PeerMessage>of(
                new IdempotencyMessages.Claim(REQUEST),
                new IdempotencyMessages.WitnessRequest(claimed, Optional.empty()),
                new IdempotencyMessages.WitnessReply(false, Optional.empty()),
                new IdempotencyMessages.StateReply(new KeyState.Fresh()),
                new IdempotencyMessages.Update(ran, true),
                new IdempotencyMessages.Acknowledged(true),
                new IdempotencyMessages.Update(ran, false))
            .mapToInt(
                message ->
                    LENGTH_PREFIX_BYTES + codec.encode(new Frame.Call(1_000_000, message)).length)
            .sum();
    System.out.println("bytes of a keyed request, real lengths, without its answer: " + bytes);
    assertThat(bytes).isLessThan(550);
  }
}
