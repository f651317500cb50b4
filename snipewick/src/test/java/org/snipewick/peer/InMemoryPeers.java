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

/** Peer networks of several instances in one thread, with delay, cuts, pauses and crashes. */
public final class InMemoryPeers {
  private final VirtualTimerService timer;
  private final Duration latency;
  private final Map<InstanceId, Node> nodes = new HashMap<>();
  private final Set<Set<InstanceId>> cuts = new HashSet<>();

  /** Creates a network whose messages take the given time one way. */
  public InMemoryPeers(VirtualTimerService timer, Duration latency) {
    this.timer = timer;
    this.latency = latency;
  }

  /** Returns the network of an instance, new and empty after a crash. */
  public PeerNetwork join(InstanceId id) {
    Node node = new Node(id);
    nodes.put(id, node);
    return node;
  }

  /** Drops the instance with all messages to it. */
  public void crash(InstanceId id) {
    nodes.remove(id);
  }

  /** Holds all messages to an instance back until it is resumed. */
  public void pause(InstanceId id) {
    nodes.get(id).paused = true;
  }

  /** Delivers what was held back. */
  public void resume(InstanceId id) {
    Node node = nodes.get(id);
    node.paused = false;
    List<Runnable> held = List.copyOf(node.held);
    node.held.clear();
    held.forEach(Runnable::run);
  }

  /** Drops all messages between two instances from now on. */
  public void cut(InstanceId one, InstanceId other) {
    cuts.add(Set.of(one, other));
  }

  /** Ends a cut. */
  public void heal(InstanceId one, InstanceId other) {
    cuts.remove(Set.of(one, other));
  }

  private void transmit(InstanceId from, InstanceId to, Runnable delivery) {
    Node target = nodes.get(to);
    timer.after(
        latency,
        () -> {
          boolean cut = !from.equals(to) && cuts.contains(Set.of(from, to));
          if (cut || nodes.get(to) != target || target == null) {
            return;
          }
          if (target.paused) {
            target.held.add(delivery);
          } else {
            delivery.run();
          }
        });
  }

  private final class Node implements PeerNetwork {
    private final InstanceId self;
    private final List<Runnable> held = new ArrayList<>();
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
                  Failure.unknown(FailureType.PEER_UNAVAILABLE, "no answer from " + to)
                      .toException()));
      transmit(self, to, () -> nodes.get(to).answer(self, message, result));
      return result;
    }

    private void answer(
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
    public void locate(InstanceId instance, InetSocketAddress address) {
      // Instances find each other by name here.
    }
  }
}
