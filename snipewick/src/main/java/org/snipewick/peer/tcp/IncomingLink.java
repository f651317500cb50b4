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

/** Connection that a peer opened: a hello, then calls and messages; event loop only. */
final class IncomingLink {
  private final LinkContext context;
  private final InstanceId self;
  private final Handlers handlers;
  private final FrameChannel channel;
  private final Consumer<Runnable> eventLoop;
  private final Incarnations incarnations;
  private Frame.Hello hello;
  private boolean superseded;

  IncomingLink(
      LinkContext context,
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

  void start(Runnable onEnd) {
    channel.read(
        this::receive,
        failure -> {
          onEnd.run();
          if (failure != null) {
            context.log().record(EventType.PEER_FAILED, name(), details(failure));
          }
        });
  }

  boolean isGreeted() {
    return hello != null;
  }

  void close() {
    channel.close();
  }

  private String name() {
    return hello == null ? "" : hello.from().value();
  }

  private static java.util.Map<String, Object> details(Exception failure) {
    return java.util.Map.of("detail", FrameChannel.causeOf(failure));
  }

  private void receive(Frame frame) {
    if (hello == null) {
      greet(frame);
    } else if (superseded) {
      refuseSuperseded(frame);
    } else if (frame instanceof Frame.Call call) {
      answer(call);
    } else if (frame instanceof Frame.Send send) {
      var ignored = handlers.handle(hello.from(), send.message());
    } else if (frame instanceof Frame.Ping) {
      write(new Frame.Pong());
    } else if (frame instanceof Frame.Unsupported unsupported) {
      unsupported.call().ifPresent(id -> refuse(id, unsupported(unsupported.name())));
    } else {
      throw malformed("unexpected frame");
    }
  }

  private void greet(Frame frame) {
    if (!(frame instanceof Frame.Hello first)) {
      throw malformed("hello missing");
    }
    if (!first.to().equals(self)) {
      throw malformed("connection is meant for " + first.to());
    }
    superseded = !incarnations.accept(first.from(), first.incarnation());
    hello = first;
  }

  private void refuseSuperseded(Frame frame) {
    if (frame instanceof Frame.Call call) {
      String detail = hello.from() + " has a later process";
      refuse(call.id(), Failure.notRun(FailureType.SUPERSEDED, detail));
    }
  }

  private void answer(Frame.Call call) {
    handlers
        .handle(hello.from(), call.message())
        .whenComplete(
            (message, failure) -> eventLoop.accept(() -> reply(call.id(), message, failure)));
  }

  private void reply(long id, PeerMessage message, Throwable failure) {
    if (failure != null) {
      refuse(id, FailureException.unwrap(failure));
      return;
    }
    try {
      write(new Frame.Answer(id, Optional.ofNullable(message)));
    } catch (FailureException unencodable) {
      refuse(id, unencodable.failure().withOutcome(org.snipewick.failure.Outcome.UNKNOWN));
    }
  }

  private void refuse(long id, Failure failure) {
    write(new Frame.Refusal(id, failure));
  }

  private void write(Frame frame) {
    Outgoing outgoing = context.outgoing(frame);
    if (outgoing.bytes().length > context.limits().maxFrameBytes()) {
      throw malformed("answer is larger than a frame");
    }
    if (!channel.offer(outgoing)) {
      channel.close();
    }
  }

  private static Failure unsupported(String name) {
    return Failure.notRun(FailureType.MALFORMED_FRAME, "message type is not known: " + name);
  }

  private static FailureException malformed(String detail) {
    return Failure.notRun(FailureType.MALFORMED_FRAME, detail).toException();
  }
}
