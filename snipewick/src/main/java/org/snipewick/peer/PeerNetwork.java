package org.snipewick.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.snipewick.identity.InstanceId;

/** Sends messages to other entry instances and dispatches those that arrive. */
public interface PeerNetwork {

  /**
   * Sends a request and awaits the answer. Sending to the own instance calls the handler directly.
   *
   * @param to receiving instance
   * @param message request
   * @param timeout how long to wait, positive
   * @return answer; fails with the {@link org.snipewick.failure.Failure} that the handler gave, or
   *     with {@link org.snipewick.failure.FailureType#PEER_UNAVAILABLE} and outcome {@link
   *     org.snipewick.failure.Outcome#UNKNOWN} when no answer came in time, or {@link
   *     org.snipewick.failure.Outcome#NOT_RUN} when the message was never written to a connection
   */
  CompletableFuture<PeerMessage> call(InstanceId to, PeerMessage message, Duration timeout);

  /**
   * Sends a message that has no answer; it may be lost.
   *
   * @param to receiving instance
   * @param message what to send
   */
  void send(InstanceId to, PeerMessage message);

  /**
   * Sets the handler of a message type. The handler runs on the network's thread and must not
   * block; an answer of {@code null} inside the future means there is none.
   *
   * @param type message type
   * @param handler maps sender and message to the answer
   * @param <T> message type
   */
  <T extends PeerMessage> void handle(
      Class<T> type, BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> handler);

  /**
   * Tells where an instance listens; replaces what was known.
   *
   * @param instance instance
   * @param address address of its peer port
   */
  void locate(InstanceId instance, InetSocketAddress address);
}
