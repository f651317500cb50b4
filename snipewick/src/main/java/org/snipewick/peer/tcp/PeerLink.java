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

/** Outgoing connection to one peer: opened on demand, kept, and opened again; event loop only. */
final class PeerLink {
  private static final int MAX_MISSED_PONGS = 2;
  private static final int MAX_WAITING_FRAMES = 1024;

  private final LinkContext context;
  private final Supplier<InetSocketAddress> address;
  private final Frame.Hello hello;
  private final Map<Long, Outgoing> calls = new HashMap<>();
  private final Deque<Outgoing> waiting = new ArrayDeque<>();
  private final Backoff backoff;
  private FrameChannel channel;
  private boolean connecting;
  private boolean closed;
  private int missedPongs;
  private int idleRounds;

  PeerLink(LinkContext context, Supplier<InetSocketAddress> address, Frame.Hello hello) {
    this.context = requireNonNull(context, "context");
    this.address = requireNonNull(address, "address");
    this.hello = requireNonNull(hello, "hello");
    this.backoff = Backoff.of(context.random());
  }

  /** Writes a frame as soon as there is a connection, or gives it up. */
  void offer(Outgoing frame) {
    idleRounds = 0;
    if (closed) {
      frame.fail("network is closed");
    } else if (channel != null) {
      offerTo(channel, frame);
    } else if (connecting) {
      await(frame);
    } else if (address.get() == null) {
      frame.fail("address of " + hello.to() + " is not known");
    } else if (backoff.isWaiting(context.timer().nanoTime())) {
      frame.fail(hello.to() + " could not be reached a moment ago");
    } else {
      await(frame);
      connect();
    }
  }

  /** Forgets a call whose time ran out. */
  void forget(long callId) {
    calls.remove(callId);
  }

  /** Finds out whether the peer still reads; to be called periodically. */
  void maintain(int maxIdleRounds) {
    if (channel == null) {
      return;
    }
    idleRounds++;
    if (missedPongs > MAX_MISSED_PONGS) {
      end(channel, "peer does not answer pings");
    } else if (idleRounds > maxIdleRounds && calls.isEmpty()) {
      end(channel, "");
    } else {
      missedPongs++;
      channel.offer(context.outgoing(new Frame.Ping()));
    }
  }

  /** Closes the connection for good. */
  void close() {
    closed = true;
    if (channel != null) {
      end(channel, "");
    }
    giveUp("network is closed");
  }

  /** Drops the connection because the peer has another address now. */
  void reset() {
    backoff.reset();
    if (channel != null) {
      end(channel, "");
    }
  }

  private void await(Outgoing frame) {
    if (waiting.size() >= MAX_WAITING_FRAMES) {
      frame.fail("queue to " + hello.to() + " is full");
    } else {
      waiting.add(frame);
    }
  }

  private void connect() {
    connecting = true;
    AsyncTcpSocketNio.connect(address.get(), LinkContext.CONNECT_TIMEOUT, context.socketSettings())
        .whenComplete(
            (socket, failure) -> {
              connecting = false;
              if (failure != null) {
                backoff.failed(context.timer().nanoTime());
                context.failed(hello.to(), "cannot connect: " + FrameChannel.causeOf(failure));
                giveUp(hello.to() + " cannot be reached");
              } else {
                opened(socket);
              }
            });
  }

  private void opened(AsyncTcpSocketNio socket) {
    FrameChannel opened = context.channel(socket);
    if (closed) {
      opened.close();
      return;
    }
    channel = opened;
    missedPongs = 0;
    idleRounds = 0;
    opened.offer(context.outgoing(hello));
    while (channel == opened && !waiting.isEmpty()) {
      offerTo(opened, waiting.remove());
    }
    opened.read(
        frame -> receive(opened, frame),
        failure -> end(opened, failure == null ? "closed by peer" : FrameChannel.causeOf(failure)));
  }

  private void offerTo(FrameChannel target, Outgoing frame) {
    if (frame.answer().isDone()) {
      return;
    }
    if (frame.isCall()) {
      calls.put(frame.callId(), frame);
    }
    if (!target.offer(frame)) {
      calls.remove(frame.callId());
      frame.fail("queue to " + hello.to() + " is full");
    }
  }

  private void receive(FrameChannel source, Frame frame) {
    if (channel != source) {
      return;
    }
    missedPongs = 0;
    backoff.reset();
    if (frame instanceof Frame.Answer answer) {
      complete(answer.id(), answer.message().orElse(null));
    } else if (frame instanceof Frame.Refusal refusal) {
      Outgoing call = calls.remove(refusal.id());
      if (call != null) {
        call.answer().completeExceptionally(refusal.failure().toException());
      }
    } else if (!(frame instanceof Frame.Pong)) {
      throw Failure.notRun(FailureType.MALFORMED_FRAME, "unexpected frame").toException();
    }
  }

  private void complete(long callId, PeerMessage message) {
    Outgoing call = calls.remove(callId);
    if (call != null) {
      call.answer().complete(message);
    }
  }

  private void end(FrameChannel ended, String reason) {
    if (channel != ended) {
      return;
    }
    channel = null;
    List<Outgoing> unwritten = ended.drain();
    ended.close();
    if (!reason.isEmpty() && !closed) {
      backoff.failed(context.timer().nanoTime());
      context.failed(hello.to(), reason);
    }
    unwritten.forEach(frame -> frame.fail("connection to " + hello.to() + " ended"));
    List<Outgoing> written = List.copyOf(calls.values());
    calls.clear();
    written.forEach(frame -> frame.fail("connection to " + hello.to() + " ended"));
  }

  private void giveUp(String detail) {
    List<Outgoing> frames = List.copyOf(waiting);
    waiting.clear();
    frames.forEach(frame -> frame.fail(detail));
  }
}
