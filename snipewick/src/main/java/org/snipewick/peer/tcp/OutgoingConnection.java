package org.snipewick.peer.tcp;

import static java.util.Objects.requireNonNull;

import io.activej.net.socket.tcp.AsyncTcpSocketNio;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.peer.Frame;
import org.snipewick.peer.PeerMessage;

/**
 * Connection to one peer. It is opened when there is a frame to send, and opened again for the next
 * frame after it ended. Used on the event loop only.
 */
final class OutgoingConnection {
  private static final int MAX_UNANSWERED_PINGS = 2;
  private static final int MAX_FRAMES_AWAITING_CONNECTION = 1024;

  private final ConnectionContext context;
  private final Supplier<InetSocketAddress> address;
  private final Frame.Hello hello;
  private final Map<Long, OutgoingFrame> callsAwaitingReply = new HashMap<>();
  private final Deque<OutgoingFrame> awaitingConnection = new ArrayDeque<>();
  private final Backoff backoff;
  private FrameChannel channel;
  private boolean connecting;
  private boolean closed;
  private int unansweredPings;
  private int idlePeriods;

  OutgoingConnection(
      ConnectionContext context, Supplier<InetSocketAddress> address, Frame.Hello hello) {
    this.context = requireNonNull(context, "context");
    this.address = requireNonNull(address, "address");
    this.hello = requireNonNull(hello, "hello");
    this.backoff = Backoff.of(context.random());
  }

  /**
   * Writes a frame, after connecting if necessary. Fails it if it cannot be queued, the peer cannot
   * be reached, or the next connection attempt is still delayed by the backoff.
   */
  void offer(OutgoingFrame frame) {
    idlePeriods = 0;
    if (closed) {
      frame.fail("network is closed");
    } else if (channel != null) {
      offerTo(channel, frame);
    } else if (connecting) {
      enqueue(frame);
    } else if (address.get() == null) {
      frame.fail("address of " + hello.to() + " is unknown");
    } else if (backoff.isWaiting(context.timer().nanoTime())) {
      frame.fail(hello.to() + " is unreachable; the next connection attempt is delayed");
    } else {
      enqueue(frame);
      connect();
    }
  }

  /** Removes a call that timed out; a late reply to it is ignored. */
  void removeCall(long callId) {
    callsAwaitingReply.remove(callId);
  }

  /**
   * Sends a ping, or closes the connection if the peer has not replied to several pings in a row or
   * if the connection is idle. Called periodically.
   *
   * @param maxIdlePeriods number of successive calls of this method without an offered frame after
   *     which the next call closes the connection, unless a call to the peer awaits its reply
   */
  void maintain(int maxIdlePeriods) {
    if (channel == null) {
      return;
    }
    idlePeriods++;
    if (unansweredPings > MAX_UNANSWERED_PINGS) {
      closeChannel(channel, "peer does not reply to pings");
    } else if (idlePeriods > maxIdlePeriods && callsAwaitingReply.isEmpty()) {
      closeChannel(channel, "");
    } else {
      unansweredPings++;
      channel.offer(context.encode(new Frame.Ping()));
    }
  }

  /** Closes the connection; frames offered afterwards fail. */
  void close() {
    closed = true;
    if (channel != null) {
      closeChannel(channel, "");
    }
    failAwaitingConnection("network is closed");
  }

  /** Closes the connection and ends the backoff, as the address of the peer has changed. */
  void reset() {
    backoff.reset();
    if (channel != null) {
      closeChannel(channel, "");
    }
  }

  private void enqueue(OutgoingFrame frame) {
    if (awaitingConnection.size() >= MAX_FRAMES_AWAITING_CONNECTION) {
      frame.fail("queue to " + hello.to() + " is full");
    } else {
      awaitingConnection.add(frame);
    }
  }

  private void connect() {
    connecting = true;
    AsyncTcpSocketNio.connect(
            address.get(), ConnectionContext.CONNECT_TIMEOUT, context.socketSettings())
        .whenComplete(
            (socket, failure) -> {
              connecting = false;
              if (failure != null) {
                backoff.recordFailure(context.timer().nanoTime());
                context.recordPeerFailure(
                    hello.to(), "cannot connect: " + FrameChannel.messageOf(failure));
                failAwaitingConnection(hello.to() + " cannot be reached");
              } else {
                onConnected(socket);
              }
            });
  }

  private void onConnected(AsyncTcpSocketNio socket) {
    FrameChannel connected = context.channel(socket);
    if (closed) {
      connected.close();
      return;
    }
    channel = connected;
    unansweredPings = 0;
    idlePeriods = 0;
    connected.offer(context.encode(hello));
    while (channel == connected && !awaitingConnection.isEmpty()) {
      offerTo(connected, awaitingConnection.remove());
    }
    connected.read(
        frame -> receive(connected, frame),
        failure ->
            closeChannel(
                connected, failure == null ? "closed by peer" : FrameChannel.messageOf(failure)));
  }

  private void offerTo(FrameChannel target, OutgoingFrame frame) {
    if (frame.reply().isDone()) {
      return;
    }
    if (frame.isCall()) {
      callsAwaitingReply.put(frame.callId(), frame);
    }
    if (!target.offer(frame)) {
      callsAwaitingReply.remove(frame.callId());
      frame.fail("queue to " + hello.to() + " is full");
    }
  }

  private void receive(FrameChannel source, Frame frame) {
    if (channel != source) {
      return;
    }
    unansweredPings = 0;
    backoff.reset();
    if (frame instanceof Frame.Reply reply) {
      complete(reply.id(), reply.message().orElse(null));
    } else if (frame instanceof Frame.FailureReply failureReply) {
      OutgoingFrame call = callsAwaitingReply.remove(failureReply.id());
      if (call != null) {
        call.reply().completeExceptionally(failureReply.failure().toException());
      }
    } else if (!(frame instanceof Frame.Pong)) {
      throw Failure.notRun(FailureType.MALFORMED_FRAME, "frame of unexpected kind").toException();
    }
  }

  private void complete(long callId, PeerMessage message) {
    OutgoingFrame call = callsAwaitingReply.remove(callId);
    if (call != null) {
      call.reply().complete(message);
    }
  }

  /**
   * Closes a channel if it is still the current one, and fails its frames and calls. An empty
   * reason means that this instance closes it without a fault of the peer.
   */
  private void closeChannel(FrameChannel target, String reason) {
    if (channel != target) {
      return;
    }
    channel = null;
    List<OutgoingFrame> unwritten = target.removeUnwritten();
    target.close();
    if (!reason.isEmpty() && !closed) {
      backoff.recordFailure(context.timer().nanoTime());
      context.recordPeerFailure(hello.to(), reason);
    }
    unwritten.forEach(frame -> frame.fail("connection to " + hello.to() + " ended"));
    List<OutgoingFrame> written = List.copyOf(callsAwaitingReply.values());
    callsAwaitingReply.clear();
    written.forEach(frame -> frame.fail("connection to " + hello.to() + " ended"));
  }

  private void failAwaitingConnection(String detail) {
    List<OutgoingFrame> frames = List.copyOf(awaitingConnection);
    awaitingConnection.clear();
    frames.forEach(frame -> frame.fail(detail));
  }
}
