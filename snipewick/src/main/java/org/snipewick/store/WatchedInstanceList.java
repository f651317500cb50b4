package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.FailureException;
import org.snipewick.identity.FailureDomain;
import org.snipewick.time.TimerService;

/**
 * Instance list that logs when it can no longer be read, and when it can be again. Its readers go
 * on with what they know and try again, so that a failure has no other trace.
 */
public final class WatchedInstanceList implements InstanceList {
  private static final long NEVER = -1;

  private final InstanceList list;
  private final TimerService timer;
  private final EventLog log;
  private final AtomicBoolean readable = new AtomicBoolean(true);
  private final AtomicLong lastReadEpochMillis = new AtomicLong(NEVER);

  private WatchedInstanceList(InstanceList list, TimerService timer, EventLog log) {
    this.list = requireNonNull(list, "list");
    this.timer = requireNonNull(timer, "timer");
    this.log = requireNonNull(log, "log");
  }

  /**
   * Returns a list that is watched.
   *
   * @param list list
   * @param timer clock
   * @param log event log
   * @return the list, with its losses logged
   */
  public static WatchedInstanceList of(InstanceList list, TimerService timer, EventLog log) {
    return new WatchedInstanceList(list, timer, log);
  }

  @Override
  public CompletableFuture<List<ListedInstance>> list() {
    return watched(list.list());
  }

  @Override
  public CompletableFuture<List<ListedInstance>> entries() {
    return watched(list.entries());
  }

  @Override
  public CompletableFuture<List<ListedInstance>> endpointsIn(FailureDomain domain) {
    return watched(list.endpointsIn(domain));
  }

  private <T> CompletableFuture<T> watched(CompletableFuture<T> read) {
    return read.whenComplete(
        (instances, failure) -> {
          if (failure == null) {
            succeeded();
          } else {
            failed(failure);
          }
        });
  }

  private void succeeded() {
    lastReadEpochMillis.set(timer.epochMillis());
    if (readable.compareAndSet(false, true)) {
      log.record(EventType.LIST_REGAINED, "");
    }
  }

  private void failed(Throwable failure) {
    if (readable.compareAndSet(true, false)) {
      long last = lastReadEpochMillis.get();
      long ageMillis = last == NEVER ? NEVER : timer.epochMillis() - last;
      String detail = FailureException.unwrap(failure).detail();
      log.record(EventType.LIST_LOST, "", Map.of("detail", detail, "lastReadMillisAgo", ageMillis));
    }
  }
}
