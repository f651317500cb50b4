package org.snipewick.peer;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.identity.InstanceId;

/** Frame of the protocol between entry instances. Frames are immutable. */
public sealed interface Frame {

  /**
   * First frame of a connection.
   *
   * @param from instance that opened the connection
   * @param incarnation number of the sender's process, higher than that of each earlier process of
   *     the instance
   * @param to instance that the connection is meant for
   */
  record Hello(InstanceId from, long incarnation, InstanceId to) implements Frame {

    /** Checks that no component is null. */
    public Hello {
      requireNonNull(from, "from");
      requireNonNull(to, "to");
    }
  }

  /**
   * Message that expects no reply.
   *
   * @param message content
   */
  record Send(PeerMessage message) implements Frame {

    /** Checks that the message is not null. */
    public Send {
      requireNonNull(message, "message");
    }
  }

  /**
   * Request that expects a reply.
   *
   * @param id identifier of the call, unique within the connection
   * @param message request
   */
  record Call(long id, PeerMessage message) implements Frame {

    /** Checks that the message is not null. */
    public Call {
      requireNonNull(message, "message");
    }
  }

  /**
   * Reply to a call.
   *
   * @param id identifier of the call
   * @param message reply, empty if the handler returned none
   */
  record Reply(long id, Optional<PeerMessage> message) implements Frame {

    /** Checks that the message is not null. */
    public Reply {
      requireNonNull(message, "message");
    }
  }

  /**
   * Reply to a call that failed.
   *
   * @param id identifier of the call
   * @param failure failure of the handler, or the reason why no handler was called
   */
  record FailureReply(long id, Failure failure) implements Frame {

    /** Checks that the failure is not null. */
    public FailureReply {
      requireNonNull(failure, "failure");
    }
  }

  /** Request for a {@link Pong}, which shows that the peer still reads from the connection. */
  record Ping() implements Frame {}

  /** Reply to a {@link Ping}. */
  record Pong() implements Frame {}

  /**
   * Well-formed frame whose message type is not registered in this version. It is returned by the
   * decoder only and cannot be encoded.
   *
   * @param call identifier of the call, empty if no reply is expected
   * @param name name of the message type
   */
  record Unsupported(Optional<Long> call, String name) implements Frame {

    /** Checks that no component is null. */
    public Unsupported {
      requireNonNull(call, "call");
      requireNonNull(name, "name");
    }
  }
}
