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
 * Instance list that logs when it can no longer be read, and when it can be again. Its readers keep
 * their cached state and retry, so a failure would leave no other trace. Safe for use by several
 * threads.
 */
public final class LoggingInstanceList implements InstanceList {
  private static final long NEVER_READ = -1;

  private final InstanceList list;
  private final TimerService timer;
  private final EventLog events;
  private final AtomicBoolean readable = new AtomicBoolean(true);
  private final AtomicLong lastReadEpochMillis = new AtomicLong(NEVER_READ);

  private LoggingInstanceList(InstanceList list, TimerService timer, EventLog events) {
    this.list = requireNonNull(list, "list");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
  }

  /**
   * Returns a list that logs the failures of another.
   *
   * @param list list to read
   * @param timer clock
   * @param events log that records when the list becomes unreadable and readable again
   * @return list with the same instances and failures
   */
  public static LoggingInstanceList of(InstanceList list, TimerService timer, EventLog events) {
    return new LoggingInstanceList(list, timer, events);
  }

  @Override
  public CompletableFuture<List<ListedInstance>> list() {
    return logged(list.list());
  }

  @Override
  public CompletableFuture<List<ListedInstance>> entryInstances() {
    return logged(list.entryInstances());
  }

  @Override
  public CompletableFuture<List<ListedInstance>> endpointsIn(FailureDomain domain) {
    return logged(list.endpointsIn(domain));
  }

  private <T> CompletableFuture<T> logged(CompletableFuture<T> read) {
    return read.whenComplete(
        (instances, failure) -> {
          if (failure == null) {
            onSuccess();
          } else {
            onFailure(failure);
          }
        });
  }

  private void onSuccess() {
    lastReadEpochMillis.set(timer.epochMillis());
    if (readable.compareAndSet(false, true)) {
      events.record(EventType.LIST_REGAINED, "");
    }
  }

  private void onFailure(Throwable failure) {
    if (readable.compareAndSet(true, false)) {
      long last = lastReadEpochMillis.get();
      long ageMillis = last == NEVER_READ ? NEVER_READ : timer.epochMillis() - last;
      String detail = FailureException.unwrap(failure).detail();
      events.record(
          EventType.LIST_LOST, "", Map.of("detail", detail, "lastReadMillisAgo", ageMillis));
    }
  }
}
