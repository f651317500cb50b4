package org.snipewick.peer;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.identity.InstanceId;

/** Unit of the protocol between entry instances. */
public sealed interface Frame {

  /**
   * First frame of a connection.
   *
   * @param from who opened the connection
   * @param incarnation start of the sender's process, in milliseconds since the Unix epoch
   * @param to whom the sender means to reach
   */
  record Hello(InstanceId from, long incarnation, InstanceId to) implements Frame {

    /** Checks the parts. */
    public Hello {
      requireNonNull(from, "from");
      requireNonNull(to, "to");
    }
  }

  /**
   * Message without an answer.
   *
   * @param message content
   */
  record Send(PeerMessage message) implements Frame {

    /** Checks the message. */
    public Send {
      requireNonNull(message, "message");
    }
  }

  /**
   * Request that awaits an answer.
   *
   * @param id identifier of the call, unique within the connection
   * @param message request
   */
  record Call(long id, PeerMessage message) implements Frame {

    /** Checks the message. */
    public Call {
      requireNonNull(message, "message");
    }
  }

  /**
   * Answer to a call.
   *
   * @param id identifier of the call
   * @param message answer, empty if there is none
   */
  record Answer(long id, Optional<PeerMessage> message) implements Frame {

    /** Checks the message. */
    public Answer {
      requireNonNull(message, "message");
    }
  }

  /**
   * Failure of a call.
   *
   * @param id identifier of the call
   * @param failure what the handler gave
   */
  record Refusal(long id, Failure failure) implements Frame {

    /** Checks the failure. */
    public Refusal {
      requireNonNull(failure, "failure");
    }
  }

  /** Asks whether the other side still reads. */
  record Ping() implements Frame {}

  /** Answers a {@link Ping}. */
  record Pong() implements Frame {}

  /**
   * Well-formed frame whose message type this version does not know.
   *
   * @param call identifier of the call, empty if it awaits no answer
   * @param name name of the message type
   */
  record Unsupported(Optional<Long> call, String name) implements Frame {

    /** Checks the parts. */
    public Unsupported {
      requireNonNull(call, "call");
      requireNonNull(name, "name");
    }
  }
}
