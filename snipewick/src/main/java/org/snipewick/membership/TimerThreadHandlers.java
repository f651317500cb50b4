package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import org.snipewick.failure.FailureException;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.TimerService;

/** Registers handlers of peer messages that run on the timer's thread. */
final class TimerThreadHandlers {
  private final PeerNetwork network;
  private final TimerService timer;

  TimerThreadHandlers(PeerNetwork network, TimerService timer) {
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
  }

  /**
   * Sets the handler of a message type. A {@link FailureException} that it throws is sent to the
   * caller as the reply.
   */
  <T extends PeerMessage> void handle(Class<T> type, BiConsumer<InstanceId, T> action) {
    BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> handler =
        (from, message) -> {
          CompletableFuture<PeerMessage> handled = new CompletableFuture<>();
          timer.after(Duration.ZERO, () -> complete(handled, () -> action.accept(from, message)));
          return handled;
        };
    network.handle(type, handler);
  }

  private static void complete(CompletableFuture<PeerMessage> handled, Runnable action) {
    try {
      action.run();
      handled.complete(null);
    } catch (FailureException failure) {
      handled.completeExceptionally(failure);
    }
  }
}
