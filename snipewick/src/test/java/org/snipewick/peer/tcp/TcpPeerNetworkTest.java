package org.snipewick.peer.tcp;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.Frame;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.TestMessages;
import org.snipewick.peer.TestMessages.Text;
import org.snipewick.time.SystemTimerService;

@Timeout(20)
class TcpPeerNetworkTest {
  private static final PeerCodec CODEC = PeerCodec.ofAll(TestMessages.MESSAGE_TYPES);
  private static final InstanceId ONE = InstanceId.of("wien-a.1");
  private static final InstanceId TWO = InstanceId.of("wien-a.2");
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(10);

  private final SystemTimerService timer = SystemTimerService.of("test-timer");
  private final Queue<EventType> events = new ConcurrentLinkedQueue<>();
  private final List<TcpPeerNetwork> networks = new ArrayList<>();

  @AfterEach
  void close() {
    networks.forEach(TcpPeerNetwork::close);
    timer.close();
  }

  private TcpPeerNetwork listen(InstanceId id, long incarnation, int port) {
    InetSocketAddress bind = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    TcpPeerNetwork network =
        TcpPeerNetwork.listen(
            id,
            incarnation,
            bind,
            CODEC,
            timer,
            (type, subject, details) -> events.add(type),
            new Random(1));
    networks.add(network);
    return network;
  }

  private static InetSocketAddress address(TcpPeerNetwork network) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), network.port());
  }

  private static void replyWithSenderAndText(TcpPeerNetwork network) {
    network.handle(
        Text.class,
        (from, message) ->
            CompletableFuture.completedFuture(new Text(from + ":" + message.text())));
  }

  private static Failure failureOf(CompletableFuture<PeerMessage> future) {
    try {
      throw new AssertionError(
          "expected a failure, but received " + future.orTimeout(10, TimeUnit.SECONDS).join());
    } catch (CompletionException failure) {
      return FailureException.unwrap(failure);
    }
  }

  @Test
  void shouldMatchRepliesToCallsWhenManyRunConcurrently() {
    TcpPeerNetwork two = listen(TWO, 1, 0);
    replyWithSenderAndText(two);
    TcpPeerNetwork one = listen(ONE, 1, 0);
    one.setAddress(TWO, address(two));
    List<CompletableFuture<PeerMessage>> replies = new ArrayList<>();
    for (int i = 0; i < 2000; i++) {
      replies.add(one.call(TWO, new Text("q" + i), LONG_TIMEOUT));
    }
    for (int i = 0; i < replies.size(); i++) {
      assertThat(replies.get(i).join()).isEqualTo(new Text("wien-a.1:q" + i));
    }
    assertThat(one.bytesSent()).isPositive();
    assertThat(one.bytesSent()).isLessThanOrEqualTo(two.bytesReceived() + 100);
  }

  @Test
  void shouldReturnFailureOfHandlerWhenHandlerFails() {
    TcpPeerNetwork two = listen(TWO, 1, 0);
    Failure shed = Failure.notRun(FailureType.SHED, "full").withRetryAfter(Duration.ofMillis(7));
    two.handle(Text.class, (from, message) -> CompletableFuture.failedFuture(shed.toException()));
    TcpPeerNetwork one = listen(ONE, 1, 0);
    one.setAddress(TWO, address(two));
    assertThat(failureOf(one.call(TWO, new Text(""), LONG_TIMEOUT))).isEqualTo(shed);
  }

  @Test
  void shouldCallHandlerWithoutConnectionWhenReceiverIsThisInstance() {
    TcpPeerNetwork one = listen(ONE, 1, 0);
    replyWithSenderAndText(one);
    assertThat(one.call(ONE, new Text("x"), LONG_TIMEOUT).join()).isEqualTo(new Text("wien-a.1:x"));
    assertThat(one.bytesSent()).isZero();
  }

  /** Returns each fault and the outcome of a call that it affects. */
  static Stream<Arguments> faults() {
    return Stream.of(
        Arguments.of("unknown address", Outcome.NOT_RUN),
        Arguments.of("port closed", Outcome.NOT_RUN),
        Arguments.of("handler does not reply", Outcome.UNKNOWN),
        Arguments.of("peer closes while call runs", Outcome.UNKNOWN),
        Arguments.of("message larger than a frame", Outcome.NOT_RUN));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void shouldReturnWhetherCallMayHaveRunWhenPeerFails(String fault, Outcome outcome) {
    TcpPeerNetwork one = listen(ONE, 1, 0);
    TcpPeerNetwork two = listen(TWO, 1, 0);
    CompletableFuture<Void> callReceived = new CompletableFuture<>();
    two.handle(
        Text.class,
        (from, message) -> {
          callReceived.complete(null);
          return new CompletableFuture<>();
        });
    Duration timeout = Duration.ofMillis(300);
    String text = "";
    switch (fault) {
      case "port closed" -> {
        one.setAddress(TWO, address(two));
        two.close();
        networks.remove(two);
      }
      case "handler does not reply" -> one.setAddress(TWO, address(two));
      case "peer closes while call runs" -> {
        one.setAddress(TWO, address(two));
        timeout = LONG_TIMEOUT;
        callReceived.thenRunAsync(two::close);
        networks.remove(two);
      }
      case "message larger than a frame" -> {
        one.setAddress(TWO, address(two));
        text = "x".repeat(TcpPeerNetwork.MAX_FRAME_BYTES);
      }
      default -> {}
    }
    Failure failure = failureOf(one.call(TWO, new Text(text), timeout));
    assertThat(failure.outcome()).isEqualTo(outcome);
  }

  @Test
  void shouldReachNewProcessWhenPeerRestarts() {
    TcpPeerNetwork first = listen(TWO, 1, 0);
    replyWithSenderAndText(first);
    TcpPeerNetwork one = listen(ONE, 1, 0);
    one.setAddress(TWO, address(first));
    one.call(TWO, new Text("a"), LONG_TIMEOUT).join();
    first.close();
    networks.remove(first);
    replyWithSenderAndText(listen(TWO, 2, first.port()));
    CompletableFuture<PeerMessage> replied = new CompletableFuture<>();
    var attempts =
        timer.every(
            Duration.ofMillis(20),
            () -> one.call(TWO, new Text("b"), LONG_TIMEOUT).thenAccept(replied::complete));
    assertThat(replied.join()).isEqualTo(new Text("wien-a.1:b"));
    attempts.cancel();
  }

  @Test
  void shouldRefuseCallsOfOlderProcessWhenNewerOneHasConnected() {
    TcpPeerNetwork two = listen(TWO, 1, 0);
    replyWithSenderAndText(two);
    TcpPeerNetwork newer = listen(ONE, 9, 0);
    newer.setAddress(TWO, address(two));
    newer.call(TWO, new Text("later"), LONG_TIMEOUT).join();
    TcpPeerNetwork older = listen(ONE, 8, 0);
    older.setAddress(TWO, address(two));
    Failure failure = failureOf(older.call(TWO, new Text("older"), LONG_TIMEOUT));
    assertThat(failure.type()).isEqualTo(FailureType.SUPERSEDED);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /** Returns each fault and the bytes that a raw client writes after connecting. */
  static Stream<Arguments> malformed() {
    byte[] hello = CODEC.encode(new Frame.Hello(ONE, 5, TWO));
    byte[] helloToOther = CODEC.encode(new Frame.Hello(ONE, 5, InstanceId.of("graz.1")));
    byte[] call = CODEC.encode(new Frame.Call(1, new Text("x")));
    return Stream.of(
        Arguments.of("no hello", framed(call)),
        Arguments.of("hello for another instance", framed(helloToOther)),
        Arguments.of("negative length", ByteBuffer.allocate(4).putInt(-1).array()),
        Arguments.of("frame too large", concatenate(framed(hello), new byte[] {127, 0, 0, 0})),
        Arguments.of(
            "not MessagePack", concatenate(framed(hello), framed(new byte[] {(byte) 0xc1}))),
        Arguments.of("reply without call", concatenate(framed(hello), framed(emptyReply()))),
        Arguments.of(
            "HTTP", "GET / HTTP/1.1\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.UTF_8)));
  }

  private static byte[] emptyReply() {
    return CODEC.encode(new Frame.Reply(1, java.util.Optional.empty()));
  }

  private static byte[] framed(byte[] frame) {
    return ByteBuffer.allocate(4 + frame.length).putInt(frame.length).put(frame).array();
  }

  private static byte[] concatenate(byte[] first, byte[] second) {
    return ByteBuffer.allocate(first.length + second.length).put(first).put(second).array();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("malformed")
  void shouldCloseOnlyItsConnectionWhenFrameIsMalformed(String fault, byte[] bytes)
      throws IOException {
    TcpPeerNetwork two = listen(TWO, 1, 0);
    replyWithSenderAndText(two);
    TcpPeerNetwork one = listen(InstanceId.of("linz.1"), 3, 0);
    one.setAddress(TWO, address(two));
    one.call(TWO, new Text("before"), LONG_TIMEOUT).join();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), two.port())) {
      socket.getOutputStream().write(bytes);
      InputStream input = socket.getInputStream();
      assertThat(readToEnd(input)).isZero();
    }
    assertThat(one.call(TWO, new Text("after"), LONG_TIMEOUT).join())
        .isEqualTo(new Text("linz.1:after"));
    assertThat(events).contains(EventType.PEER_FAILED).doesNotContain(EventType.INTERNAL_ERROR);
  }

  private static int readToEnd(InputStream input) {
    try {
      return input.readAllBytes().length;
    } catch (IOException reset) {
      return 0;
    }
  }
}
