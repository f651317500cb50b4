package org.snipewick.peer.tcp;

import static java.util.Objects.requireNonNull;

import io.activej.net.socket.tcp.AsyncTcpSocket;
import java.util.Optional;
import java.util.function.Consumer;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.Frame;
import org.snipewick.peer.PeerMessage;

/**
 * Connection that a peer opened. Its first frame is a hello; calls, messages without a reply and
 * pings follow. If the peer has a newer process, calls from the older one fail and its other frames
 * are ignored. Used on the event loop only.
 */
final class IncomingConnection {
  private final ConnectionContext context;
  private final InstanceId self;
  private final Handlers handlers;
  private final FrameChannel channel;
  private final Consumer<Runnable> eventLoop;
  private final Incarnations incarnations;
  private Frame.Hello hello;
  private boolean superseded;

  IncomingConnection(
      ConnectionContext context,
      InstanceId self,
      Handlers handlers,
      Incarnations incarnations,
      AsyncTcpSocket socket,
      Consumer<Runnable> eventLoop) {
    this.context = requireNonNull(context, "context");
    this.self = requireNonNull(self, "self");
    this.handlers = requireNonNull(handlers, "handlers");
    this.incarnations = requireNonNull(incarnations, "incarnations");
    this.channel = context.channel(socket);
    this.eventLoop = requireNonNull(eventLoop, "eventLoop");
  }

  /** Starts reading; calls {@code onEnd} when the connection has ended. */
  void start(Runnable onEnd) {
    channel.read(
        this::receive,
        failure -> {
          onEnd.run();
          if (failure != null) {
            context.log().record(EventType.PEER_FAILED, peerName(), details(failure));
          }
        });
  }

  /** Returns whether the peer has sent its hello. */
  boolean hasReceivedHello() {
    return hello != null;
  }

  /** Closes the connection. */
  void close() {
    channel.close();
  }

  private String peerName() {
    return hello == null ? "" : hello.from().value();
  }

  private static java.util.Map<String, Object> details(Exception failure) {
    return java.util.Map.of("detail", FrameChannel.messageOf(failure));
  }

  private void receive(Frame frame) {
    if (hello == null) {
      receiveHello(frame);
    } else if (superseded) {
      rejectIfCall(frame);
    } else if (frame instanceof Frame.Call call) {
      dispatch(call);
    } else if (frame instanceof Frame.Send send) {
      var ignored = handlers.handle(hello.from(), send.message());
    } else if (frame instanceof Frame.Ping) {
      write(new Frame.Pong());
    } else if (frame instanceof Frame.Unsupported unsupported) {
      unsupported.call().ifPresent(id -> sendFailure(id, unknownType(unsupported.name())));
    } else {
      throw malformed("frame of unexpected kind");
    }
  }

  private void receiveHello(Frame frame) {
    if (!(frame instanceof Frame.Hello received)) {
      throw malformed("first frame is not a hello");
    }
    if (!received.to().equals(self)) {
      throw malformed("hello is for another instance: " + received.to());
    }
    superseded = !incarnations.accept(received.from(), received.incarnation());
    hello = received;
  }

  private void rejectIfCall(Frame frame) {
    if (frame instanceof Frame.Call call) {
      String detail = hello.from() + " has a later process";
      sendFailure(call.id(), Failure.notRun(FailureType.SUPERSEDED, detail));
    }
  }

  private void dispatch(Frame.Call call) {
    handlers
        .handle(hello.from(), call.message())
        .whenComplete(
            (message, failure) -> eventLoop.accept(() -> sendReply(call.id(), message, failure)));
  }

  private void sendReply(long id, PeerMessage message, Throwable failure) {
    if (failure != null) {
      sendFailure(id, FailureException.unwrap(failure));
      return;
    }
    try {
      write(new Frame.Reply(id, Optional.ofNullable(message)));
    } catch (FailureException malformedReply) {
      sendFailure(id, malformedReply.failure().withOutcome(org.snipewick.failure.Outcome.UNKNOWN));
    }
  }

  private void sendFailure(long id, Failure failure) {
    write(new Frame.FailureReply(id, failure));
  }

  private void write(Frame frame) {
    OutgoingFrame outgoing = context.encode(frame);
    if (outgoing.bytes().length > context.limits().maxFrameBytes()) {
      throw malformed("reply is larger than the maximum frame size");
    }
    if (!channel.offer(outgoing)) {
      channel.close();
    }
  }

  private static Failure unknownType(String name) {
    return Failure.notRun(FailureType.MALFORMED_FRAME, "unknown message type: " + name);
  }

  private static FailureException malformed(String detail) {
    return Failure.notRun(FailureType.MALFORMED_FRAME, detail).toException();
  }
}
