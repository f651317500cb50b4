package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;

/** Accepted changes, from memory as far as it goes back and else from the platform. */
final class ChangeHistory {
  private static final int MAX_CHANGES = 100;

  private final InForce inForce;
  private final ChangeTable table;
  private final TimerThread thread;

  ChangeHistory(InForce inForce, ChangeTable table, TimerThread thread) {
    this.inForce = requireNonNull(inForce, "inForce");
    this.table = requireNonNull(table, "table");
    this.thread = requireNonNull(thread, "thread");
  }

  CompletableFuture<ChangeState> stateOf(String changeId) {
    long version = Change.versionOf(changeId);
    if (version == 0) {
      String detail = "not a change: " + changeId;
      return CompletableFuture.failedFuture(
          Failure.notRun(FailureType.NOT_FOUND, detail).toException());
    }
    return thread
        .call(() -> find(version))
        .thenApply(
            found -> found.map(change -> state(change, changeId)).orElse(ChangeState.UNKNOWN));
  }

  CompletableFuture<SortedMap<Long, Change>> after(long version) {
    return thread.call(() -> collect(version + 1, new TreeMap<>()));
  }

  private CompletableFuture<SortedMap<Long, Change>> collect(
      long version, SortedMap<Long, Change> found) {
    if (version > inForce.version() || found.size() == MAX_CHANGES) {
      return CompletableFuture.completedFuture(found);
    }
    return find(version)
        .thenCompose(
            change -> {
              if (change.isEmpty()) {
                return CompletableFuture.completedFuture(found);
              }
              found.put(version, change.get());
              return thread.call(() -> collect(version + 1, found));
            });
  }

  private CompletableFuture<Optional<Change>> find(long version) {
    Optional<Change> remembered = inForce.find(version);
    return remembered.isPresent()
        ? CompletableFuture.completedFuture(remembered)
        : table.read(version);
  }

  private static ChangeState state(Change accepted, String changeId) {
    return accepted.changeId().equals(changeId) ? ChangeState.ACCEPTED : ChangeState.NOT_ACCEPTED;
  }
}
