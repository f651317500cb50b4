package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;

/** History of accepted changes: recent ones from the local cache, others from the platform. */
final class ChangeHistory {
  private static final int MAX_CHANGES_PER_RESPONSE = 100;

  private final CurrentCatalogue currentCatalogue;
  private final ChangeTable table;
  private final TimerThread timerThread;

  ChangeHistory(CurrentCatalogue currentCatalogue, ChangeTable table, TimerThread timerThread) {
    this.currentCatalogue = requireNonNull(currentCatalogue, "currentCatalogue");
    this.table = requireNonNull(table, "table");
    this.timerThread = requireNonNull(timerThread, "timerThread");
  }

  /** Returns the state of a change; fails if the identifier is malformed. */
  CompletableFuture<ChangeState> stateOf(String changeId) {
    long version = Change.versionOf(changeId);
    if (version == 0) {
      String detail = "not an identifier of a change: " + changeId;
      return CompletableFuture.failedFuture(
          Failure.notRun(FailureType.NOT_FOUND, detail).toException());
    }
    return timerThread
        .call(() -> findChange(version))
        .thenApply(
            found -> found.map(change -> state(change, changeId)).orElse(ChangeState.UNKNOWN));
  }

  /** Returns the first {@link #MAX_CHANGES_PER_RESPONSE} changes after a version. */
  CompletableFuture<SortedMap<Long, Change>> after(long version) {
    return timerThread.call(() -> collect(version + 1, new TreeMap<>()));
  }

  private CompletableFuture<SortedMap<Long, Change>> collect(
      long version, SortedMap<Long, Change> found) {
    if (version > currentCatalogue.version() || found.size() == MAX_CHANGES_PER_RESPONSE) {
      return CompletableFuture.completedFuture(found);
    }
    return findChange(version)
        .thenCompose(
            change -> {
              if (change.isEmpty()) {
                return CompletableFuture.completedFuture(found);
              }
              found.put(version, change.get());
              return timerThread.call(() -> collect(version + 1, found));
            });
  }

  private CompletableFuture<Optional<Change>> findChange(long version) {
    Optional<Change> cached = currentCatalogue.findCachedChange(version);
    return cached.isPresent() ? CompletableFuture.completedFuture(cached) : table.read(version);
  }

  private static ChangeState state(Change accepted, String changeId) {
    return accepted.changeId().equals(changeId) ? ChangeState.ACCEPTED : ChangeState.NOT_ACCEPTED;
  }
}
