package org.snipewick.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.time.VirtualTimerService;

/**
 * Peer networks of several instances on one thread. Simulates message latency, network partitions,
 * and paused and crashed instances.
 */
public final class InMemoryPeers {
  private final VirtualTimerService timer;
  private final Duration latency;
  private final Map<InstanceId, Node> nodes = new HashMap<>();
  private final Set<Set<InstanceId>> cuts = new HashSet<>();

  /** Creates a network whose messages have the given one-way latency. */
  public InMemoryPeers(VirtualTimerService timer, Duration latency) {
    this.timer = timer;
    this.latency = latency;
  }

  /** Returns a new network of an instance, without handlers; also restarts a crashed instance. */
  public PeerNetwork join(InstanceId id) {
    Node node = new Node(id);
    nodes.put(id, node);
    return node;
  }

  /** Removes an instance; messages to it are dropped, also those already sent. */
  public void crash(InstanceId id) {
    nodes.remove(id);
  }

  /** Holds back all messages to an instance until it is resumed. */
  public void pause(InstanceId id) {
    nodes.get(id).paused = true;
  }

  /** Resumes an instance and delivers the messages that were held back. */
  public void resume(InstanceId id) {
    Node node = nodes.get(id);
    node.paused = false;
    List<Runnable> deliveries = List.copyOf(node.heldBack);
    node.heldBack.clear();
    deliveries.forEach(Runnable::run);
  }

  /** Drops all messages between two instances that arrive from now on. */
  public void cut(InstanceId one, InstanceId other) {
    cuts.add(Set.of(one, other));
  }

  /** Delivers messages between two instances again after {@link #cut}. */
  public void heal(InstanceId one, InstanceId other) {
    cuts.remove(Set.of(one, other));
  }

  private void transmit(InstanceId from, InstanceId to, Runnable delivery) {
    Node target = nodes.get(to);
    timer.after(
        latency,
        () -> {
          boolean isCut = !from.equals(to) && cuts.contains(Set.of(from, to));
          if (isCut || nodes.get(to) != target || target == null) {
            return;
          }
          if (target.paused) {
            target.heldBack.add(delivery);
          } else {
            delivery.run();
          }
        });
  }

  private final class Node implements PeerNetwork {
    private final InstanceId self;
    private final List<Runnable> heldBack = new ArrayList<>();
    private final Map<
            Class<?>, BiFunction<InstanceId, PeerMessage, CompletableFuture<? extends PeerMessage>>>
        handlers = new HashMap<>();
    private boolean paused;

    Node(InstanceId self) {
      this.self = self;
    }

    @Override
    public CompletableFuture<PeerMessage> call(
        InstanceId to, PeerMessage message, Duration timeout) {
      CompletableFuture<PeerMessage> result = new CompletableFuture<>();
      timer.after(
          timeout,
          () ->
              result.completeExceptionally(
                  Failure.unknown(FailureType.PEER_UNAVAILABLE, "no reply from " + to)
                      .toException()));
      transmit(self, to, () -> nodes.get(to).dispatch(self, message, result));
      return result;
    }

    private void dispatch(
        InstanceId from, PeerMessage message, CompletableFuture<PeerMessage> result) {
      CompletableFuture<? extends PeerMessage> unused =
          receive(from, message)
              .whenComplete(
                  (reply, failure) ->
                      transmit(
                          self,
                          from,
                          () -> {
                            if (failure != null) {
                              result.completeExceptionally(failure);
                            } else {
                              result.complete(reply);
                            }
                          }));
    }

    private CompletableFuture<? extends PeerMessage> receive(InstanceId from, PeerMessage message) {
      var handler = handlers.get(message.getClass());
      if (handler == null) {
        return CompletableFuture.failedFuture(
            Failure.notRun(FailureType.MALFORMED_FRAME, "no handler for " + message.getClass())
                .toException());
      }
      return handler.apply(from, message);
    }

    @Override
    public void send(InstanceId to, PeerMessage message) {
      transmit(self, to, () -> nodes.get(to).receive(self, message).exceptionally(failure -> null));
    }

    @Override
    public <T extends PeerMessage> void handle(
        Class<T> type,
        BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> handler) {
      handlers.put(type, (from, message) -> handler.apply(from, type.cast(message)));
    }

    @Override
    public void setAddress(InstanceId instance, InetSocketAddress address) {
      // Addresses are not used: instances are found by their identifiers.
    }
  }
}
