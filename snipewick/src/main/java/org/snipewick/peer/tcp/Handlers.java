package org.snipewick.peer.tcp;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;

/**
 * Handlers by message type. An exception thrown by a handler becomes a failed future. Thread-safe.
 */
final class Handlers {
  private final Map<Class<?>, BiFunction<InstanceId, PeerMessage, CompletableFuture<PeerMessage>>>
      byType = new ConcurrentHashMap<>();
  private final EventLog log;

  Handlers(EventLog log) {
    this.log = requireNonNull(log, "log");
  }

  /** Sets the handler of a message type and replaces the previous one. */
  <T extends PeerMessage> void put(
      Class<T> type, BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> handler) {
    byType.put(type, (from, message) -> widen(handler.apply(from, type.cast(message))));
  }

  /**
   * Calls the handler of a message. The result fails with {@link FailureType#MALFORMED_FRAME} if
   * the message type has no handler, and with {@link FailureType#INTERNAL} if the handler throws an
   * exception other than a {@link FailureException}.
   */
  CompletableFuture<PeerMessage> handle(InstanceId from, PeerMessage message) {
    var handler = byType.get(message.getClass());
    if (handler == null) {
      String detail = "no handler for " + message.getClass().getSimpleName();
      return failed(Failure.notRun(FailureType.MALFORMED_FRAME, detail));
    }
    try {
      return handler.apply(from, message);
    } catch (FailureException failure) {
      return failed(failure.failure());
    } catch (RuntimeException defect) {
      log.record(EventType.INTERNAL_ERROR, from.value(), Map.of("detail", String.valueOf(defect)));
      return failed(Failure.unknown(FailureType.INTERNAL, String.valueOf(defect)));
    }
  }

  private static CompletableFuture<PeerMessage> widen(
      CompletableFuture<? extends PeerMessage> future) {
    return future.thenApply(message -> message);
  }

  private static CompletableFuture<PeerMessage> failed(Failure failure) {
    return CompletableFuture.failedFuture(failure.toException());
  }
}
