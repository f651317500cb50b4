package org.snipewick.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.snipewick.identity.InstanceId;

/** Network that sends messages to other entry instances and passes received ones to handlers. */
public interface PeerNetwork {

  /**
   * Sends a request and returns its reply. A request to this instance calls the handler without a
   * connection.
   *
   * @param to receiving instance
   * @param message request
   * @param timeout time after which the call fails if there is no reply, positive
   * @return reply, null if the handler returned none; fails with the {@link
   *     org.snipewick.failure.Failure} of the handler, or with {@link
   *     org.snipewick.failure.FailureType#PEER_UNAVAILABLE} and outcome {@link
   *     org.snipewick.failure.Outcome#UNKNOWN} if no reply was received in time, or {@link
   *     org.snipewick.failure.Outcome#NOT_RUN} if the message was never written to a connection;
   *     fails with {@link org.snipewick.failure.FailureType#MALFORMED_FRAME} if the message cannot
   *     be encoded or is larger than a frame
   */
  CompletableFuture<PeerMessage> call(InstanceId to, PeerMessage message, Duration timeout);

  /**
   * Sends a message that expects no reply. It may be lost without notice.
   *
   * @param to receiving instance
   * @param message message
   * @throws org.snipewick.failure.FailureException of {@link
   *     org.snipewick.failure.FailureType#MALFORMED_FRAME} if the message cannot be encoded or is
   *     larger than a frame
   */
  void send(InstanceId to, PeerMessage message);

  /**
   * Sets the handler of a message type. The handler runs on the network's thread and must not
   * block. If its future completes with {@code null}, the reply is empty.
   *
   * @param type message type
   * @param handler returns the reply to a message of a sender
   * @param <T> message type
   */
  <T extends PeerMessage> void handle(
      Class<T> type, BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> handler);

  /**
   * Sets the address at which an instance listens and replaces the previous one.
   *
   * @param instance receiving instance
   * @param address host and peer port
   */
  void setAddress(InstanceId instance, InetSocketAddress address);
}
