package org.snipewick.bench.policy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.BiPredicate;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.TimerService;

/**
 * Peer network of one instance; all instances share a thread and a timer. Only messages without a
 * reply are supported.
 */
final class PeerFake implements PeerNetwork {
  private static final Duration MESSAGE_LATENCY = Duration.ofMillis(1);

  private final InstanceId self;
  private final TimerService timer;
  private final Map<InstanceId, PeerFake> network;
  private final BiPredicate<InstanceId, InstanceId> connected;
  private final Map<Class<?>, BiConsumer<InstanceId, PeerMessage>> handlers = new HashMap<>();

  PeerFake(
      InstanceId self,
      TimerService timer,
      Map<InstanceId, PeerFake> network,
      BiPredicate<InstanceId, InstanceId> connected) {
    this.self = self;
    this.timer = timer;
    this.network = network;
    this.connected = connected;
    network.put(self, this);
  }

  @Override
  public CompletableFuture<PeerMessage> call(InstanceId to, PeerMessage message, Duration timeout) {
    return CompletableFuture.failedFuture(
        Failure.notRun(
                FailureType.PEER_UNAVAILABLE,
                "calls with a reply are not supported by this peer network")
            .toException());
  }

  @Override
  public void send(InstanceId to, PeerMessage message) {
    var unused =
        timer.after(
            MESSAGE_LATENCY,
            () -> {
              if (connected.test(self, to)) {
                network.get(to).handlers.get(message.getClass()).accept(self, message);
              }
            });
  }

  @Override
  public <T extends PeerMessage> void handle(
      Class<T> type, BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> handler) {
    handlers.put(
        type,
        (from, message) -> {
          var unused = handler.apply(from, type.cast(message));
        });
  }

  @Override
  public void setAddress(InstanceId instance, InetSocketAddress address) {
    // Messages are delivered by instance, addresses are not used.
  }
}
