package org.snipewick.systemtests;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiFunction;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;

/** Peer network of one instance that drops messages to other failure domains during a cut. */
final class CuttableNetwork implements PeerNetwork {
  private final PeerNetwork delegate;
  private final String domain;
  private final AtomicBoolean cut;

  CuttableNetwork(PeerNetwork delegate, String domain, AtomicBoolean cut) {
    this.delegate = delegate;
    this.domain = domain;
    this.cut = cut;
  }

  @Override
  public CompletableFuture<PeerMessage> call(InstanceId to, PeerMessage message, Duration timeout) {
    if (!isCutFrom(to)) {
      return delegate.call(to, message, timeout);
    }
    Failure failure = Failure.unknown(FailureType.PEER_UNAVAILABLE, "cut from " + to);
    return CompletableFuture.supplyAsync(
        () -> {
          throw failure.toException();
        },
        CompletableFuture.delayedExecutor(timeout.toMillis(), TimeUnit.MILLISECONDS));
  }

  @Override
  public void send(InstanceId to, PeerMessage message) {
    if (!isCutFrom(to)) {
      delegate.send(to, message);
    }
  }

  @Override
  public <T extends PeerMessage> void handle(
      Class<T> type, BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> handler) {
    delegate.handle(type, handler);
  }

  @Override
  public void setAddress(InstanceId instance, InetSocketAddress address) {
    delegate.setAddress(instance, address);
  }

  private boolean isCutFrom(InstanceId to) {
    return cut.get() && !Cluster.domain(to.value()).equals(domain);
  }
}
