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

/** Peer network of one instance among others in the same thread; messages take a millisecond. */
final class PeerFake implements PeerNetwork {
  private static final Duration LATENCY = Duration.ofMillis(1);

  private final InstanceId self;
  private final TimerService timer;
  private final Map<InstanceId, PeerFake> others;
  private final BiPredicate<InstanceId, InstanceId> connected;
  private final Map<Class<?>, BiConsumer<InstanceId, PeerMessage>> handlers = new HashMap<>();

  PeerFake(
      InstanceId self,
      TimerService timer,
      Map<InstanceId, PeerFake> others,
      BiPredicate<InstanceId, InstanceId> connected) {
    this.self = self;
    this.timer = timer;
    this.others = others;
    this.connected = connected;
    others.put(self, this);
  }

  @Override
  public CompletableFuture<PeerMessage> call(InstanceId to, PeerMessage message, Duration timeout) {
    return CompletableFuture.failedFuture(
        Failure.notRun(FailureType.PEER_UNAVAILABLE, "calls are not offered here").toException());
  }

  @Override
  public void send(InstanceId to, PeerMessage message) {
    var unused =
        timer.after(
            LATENCY,
            () -> {
              if (connected.test(self, to)) {
                others.get(to).handlers.get(message.getClass()).accept(self, message);
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
  public void locate(InstanceId instance, InetSocketAddress address) {
    // Instances find each other by name here.
  }
}
