package org.snipewick.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.snipewick.identity.InstanceId;

/**
 * Network that counts the bytes that its messages would need as frames over TCP. A reply is counted
 * under the kind of its call.
 */
public final class MeteredNetwork implements PeerNetwork {
  private static final int LENGTH_PREFIX_BYTES = 4;

  private final InstanceId self;
  private final PeerNetwork network;
  private final PeerCodec codec;
  private final MessageBytes bytes;

  /** Creates a network that adds each frame to the counts of its sender and its receiver. */
  public MeteredNetwork(InstanceId self, PeerNetwork network, PeerCodec codec, MessageBytes bytes) {
    this.self = self;
    this.network = network;
    this.codec = codec;
    this.bytes = bytes;
  }

  private void count(InstanceId to, PeerMessage message, Frame frame) {
    if (!to.equals(self)) {
      long sizeBytes = LENGTH_PREFIX_BYTES + codec.encode(frame).length;
      bytes.add(kindOf(message), self, sizeBytes);
      bytes.add(kindOf(message), to, sizeBytes);
    }
  }

  /** Returns the last part of the package and the name of a message type. */
  private static String kindOf(PeerMessage message) {
    String packageName = message.getClass().getPackageName();
    return packageName.substring(packageName.lastIndexOf('.') + 1)
        + "."
        + message.getClass().getSimpleName();
  }

  @Override
  public CompletableFuture<PeerMessage> call(InstanceId to, PeerMessage message, Duration timeout) {
    // The identifier of the call is encoded in five bytes, as after more than 65,535 calls.
    count(to, message, new Frame.Call(1 << 20, message));
    return network
        .call(to, message, timeout)
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                count(to, message, new Frame.Reply(1 << 20, Optional.ofNullable(reply)));
              }
            });
  }

  @Override
  public void send(InstanceId to, PeerMessage message) {
    count(to, message, new Frame.Send(message));
    network.send(to, message);
  }

  @Override
  public <T extends PeerMessage> void handle(
      Class<T> type, BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> handler) {
    network.handle(type, handler);
  }

  @Override
  public void setAddress(InstanceId instance, InetSocketAddress address) {
    network.setAddress(instance, address);
  }
}
