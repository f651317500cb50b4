package org.snipewick.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.catalogue.Edit;
import org.snipewick.catalogue.Entry;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;
import org.snipewick.peer.TestMessages.Rich;
import org.snipewick.peer.TestMessages.Text;
import org.snipewick.pool.WorkEvent;

class PeerCodecTest {
  private static final PeerCodec CODEC = PeerCodec.ofAll(TestMessages.MESSAGE_TYPES);
  private static final RequestId REQUEST = RequestId.of(InstanceId.of("wien-a.1"), 1L << 40, 7);

  static Stream<Frame> frames() {
    return Stream.of(
        new Frame.Hello(InstanceId.of("wien-a.1"), 1_764_800_000_000L, InstanceId.of("linz.2")),
        new Frame.Send(new Text("Straße")),
        new Frame.Call(Long.MAX_VALUE, new Text("")),
        new Frame.Reply(1, Optional.of(new Text("answer"))),
        new Frame.Reply(2, Optional.empty()),
        new Frame.FailureReply(3, Failure.notRun(FailureType.SHED, "tier 3")),
        new Frame.FailureReply(
            4, Failure.ran(FailureType.INTERNAL, "x").withRetryAfter(Duration.ofMillis(1500))),
        new Frame.Ping(),
        new Frame.Pong());
  }

  @ParameterizedTest
  @MethodSource("frames")
  void shouldReturnEqualFrameWhenDecoded(Frame frame) {
    assertThat(CODEC.decode(CODEC.encode(frame))).isEqualTo(frame);
  }

  @Test
  void shouldReturnEqualMessageWhenItHasComponentsOfEveryType() {
    Entry entry = new Entry.Model("wick", "ops", Tier.TWO, 100, 10, 1000);
    Rich rich =
        new Rich(
            InstanceId.of("graz.1"),
            REQUEST,
            Optional.of(TeamName.of("dispatch")),
            Tier.FOUR,
            Duration.ofNanos(1_500_000_001),
            List.of(Long.MIN_VALUE, 0L, Long.MAX_VALUE),
            Map.of(PoolName.of("wickpool"), 3),
            new WorkEvent.Finished(REQUEST, WorkEvent.Result.BROKEN, 12),
            new Edit.Put(entry),
            "body".getBytes(StandardCharsets.UTF_8));
    Frame.Send decoded = (Frame.Send) CODEC.decode(CODEC.encode(new Frame.Send(rich)));
    assertThat(decoded.message()).usingRecursiveComparison().isEqualTo(rich);
  }

  @Test
  void shouldReturnUnsupportedWhenMessageTypeIsNotRegistered() {
    byte[] call = CODEC.encode(new Frame.Call(9, new Text("from a newer version")));
    assertThat(PeerCodec.ofAll(Map.of()).decode(call))
        .isEqualTo(new Frame.Unsupported(Optional.of(9L), "text"));
  }

  @ParameterizedTest(name = "{1}")
  @CsvSource({
    "'', no bytes",
    "c1, reserved byte",
    "a3616263, string instead of array",
    "90, empty array",
    "9163, unknown kind",
    "9201a474657874, message missing",
    "9301a474657874c0, message is null",
    "9301a47465787493010203, message is an array",
    "940201a47465787481a474, cut off",
    "9205c0, too many elements",
    "9400a000a0, names are empty",
    "930301a5746578742d, unknown message type of reply",
    "dd7fffffff05, array length beyond the input"
  })
  void shouldFailAsMalformedWhenBytesAreNotFrame(String hex, String reason) {
    assertThatThrownBy(() -> CODEC.decode(HexFormat.of().parseHex(hex)))
        .as(reason)
        .isInstanceOfSatisfying(
            FailureException.class,
            thrown -> assertThat(thrown.failure().type()).isEqualTo(FailureType.MALFORMED_FRAME));
  }

  @Test
  void shouldThrowWhenTwoMessageTypesHaveTheSameName() {
    assertThatThrownBy(() -> PeerCodec.ofAll(Map.of("a", Text.class), Map.of("a", Rich.class)))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
