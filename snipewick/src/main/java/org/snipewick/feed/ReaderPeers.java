package org.snipewick.feed;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.TimerService;

/**
 * Readers that this instance may follow. One that does not serve as agreed is suspended and probed
 * beside the reads, so that no read waits for it until it serves again. Not thread-safe.
 */
final class ReaderPeers {
  /** A reader that was stalled for a CPU quota period or two is then soon used again. */
  private static final Duration FIRST_PROBE_DELAY = Duration.ofSeconds(1);

  /** Bounds the probes of a reader whose row remains although it never returns. */
  private static final Duration MAX_PROBE_DELAY = Duration.ofSeconds(8);

  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(200);

  private final TimerService timer;
  private final EventLog events;
  private final Set<InstanceId> suspended = new HashSet<>();
  private final List<Consumer<InstanceId>> suspensionListeners = new ArrayList<>();
  private ReaderSelection selection = ReaderSelection.none();
  private Optional<Connection> connection = Optional.empty();

  ReaderPeers(TimerService timer, EventLog events) {
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
  }

  private record Connection(PeerNetwork network, Executor executor) {}

  /**
   * Sets the connections to peers, and the executor that runs tasks on the thread of this class.
   */
  void connect(PeerNetwork network, Executor executor) {
    connection = Optional.of(new Connection(network, executor));
  }

  /** Adds a listener that receives each reader that is suspended. */
  void onSuspended(Consumer<InstanceId> listener) {
    suspensionListeners.add(listener);
  }

  void setSelection(ReaderSelection changed) {
    boolean isSame =
        changed.isReader() == selection.isReader()
            && Set.copyOf(changed.readers()).equals(Set.copyOf(selection.readers()));
    selection = changed;
    if (!isSame) {
      List<String> names = changed.readers().stream().map(InstanceId::value).sorted().toList();
      events.record(
          EventType.STORE_READERS_CHANGED,
          "",
          Map.of("isReader", changed.isReader(), "readers", String.join(" ", names)));
    }
  }

  boolean isReader() {
    return selection.isReader();
  }

  /** Returns the reader to query; empty if this instance is to read the store itself. */
  Optional<InstanceId> readerToFollow() {
    if (selection.isReader() || connection.isEmpty()) {
      return Optional.empty();
    }
    return selection.readers().stream().filter(reader -> !suspended.contains(reader)).findFirst();
  }

  /**
   * Sends a query; the reply is empty if there is none within the timeout, which the network may
   * notice late.
   */
  void query(
      InstanceId reader,
      FeedMessages.Query query,
      Duration timeout,
      Consumer<Optional<FeedMessages.Reply>> onReply) {
    Connection peers = connection.orElseThrow();
    CompletableFuture<Void> unused =
        peers
            .network()
            .call(reader, query, timeout)
            .handle(
                (message, thrown) -> {
                  Optional<FeedMessages.Reply> reply =
                      message instanceof FeedMessages.Reply received
                          ? Optional.of(received)
                          : Optional.empty();
                  peers.executor().execute(() -> onReply.accept(reply));
                  return null;
                });
  }

  /**
   * Suspends a reader until it replies to a probe.
   *
   * @param reader reader that did not serve as agreed
   * @param detail what it did
   * @param probe query that it could not serve; sent with a wait of zero
   */
  void suspend(InstanceId reader, String detail, FeedMessages.Query probe) {
    if (!suspended.add(reader)) {
      return;
    }
    events.record(
        EventType.STORE_READER_SUSPENDED,
        reader.value(),
        Map.of("detail", detail, "table", probe.table()));
    scheduleProbe(reader, probe, FIRST_PROBE_DELAY);
    suspensionListeners.forEach(listener -> listener.accept(reader));
  }

  private void scheduleProbe(InstanceId reader, FeedMessages.Query probe, Duration delay) {
    timer.after(
        delay,
        () -> {
          if (selection.readers().contains(reader)) {
            probe(reader, probe, delay);
          } else {
            suspended.remove(reader);
          }
        });
  }

  private void probe(InstanceId reader, FeedMessages.Query probe, Duration delay) {
    long sentNanos = timer.nanoTime();
    query(
        reader,
        probe,
        PROBE_TIMEOUT,
        reply -> {
          boolean isInTime = timer.nanoTime() - sentNanos <= PROBE_TIMEOUT.toNanos();
          if (isInTime && reply.filter(ReaderPeers::showsService).isPresent()) {
            suspended.remove(reader);
            events.record(EventType.STORE_READER_RESUMED, reader.value());
          } else {
            Duration doubled = delay.multipliedBy(2);
            scheduleProbe(
                reader, probe, doubled.compareTo(MAX_PROBE_DELAY) > 0 ? MAX_PROBE_DELAY : doubled);
          }
        });
  }

  /** The version of a probe may be so old by now that the reader no longer has the changes. */
  private static boolean showsService(FeedMessages.Reply reply) {
    return reply.status() == FeedMessages.Status.CHANGES
        || reply.status() == FeedMessages.Status.HISTORY_LOST;
  }
}
