package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;

/**
 * Holder of the catalogue in force, with a cache of its most recent changes. The version never
 * decreases. All methods but {@link #current}, {@link #version} and {@link #subscribe} must be
 * called on the timer's thread.
 */
final class CurrentCatalogue {
  private static final int MAX_RECENT_CHANGES = 200;

  private final AtomicReference<Catalogue> current = new AtomicReference<>(Catalogue.empty());
  private final NavigableMap<Long, Change> recentChanges = new TreeMap<>();
  private final List<Consumer<Catalogue>> listeners = new CopyOnWriteArrayList<>();
  private final EventLog log;

  CurrentCatalogue(EventLog log) {
    this.log = requireNonNull(log, "log");
  }

  Catalogue current() {
    return current.get();
  }

  long version() {
    return current.get().version();
  }

  void subscribe(Consumer<Catalogue> listener) {
    listeners.add(requireNonNull(listener, "listener"));
  }

  /** Applies a change if it creates the next version; returns whether it was applied. */
  boolean apply(long version, Change change) {
    if (version != version() + 1) {
      return false;
    }
    recentChanges.put(version, change);
    if (recentChanges.size() > MAX_RECENT_CHANGES) {
      recentChanges.pollFirstEntry();
    }
    setAndNotify(current().withEdits(change.edits()), change.changeId());
    return true;
  }

  /**
   * Replaces the catalogue by a snapshot if the snapshot's version is higher; returns whether it
   * was replaced.
   */
  boolean replace(Catalogue snapshot) {
    if (snapshot.version() <= version()) {
      return false;
    }
    recentChanges.clear();
    setAndNotify(snapshot, "snapshot");
    return true;
  }

  /** Returns the change that created a version, empty if it is not cached. */
  Optional<Change> findCachedChange(long version) {
    return Optional.ofNullable(recentChanges.get(version));
  }

  /** Returns all changes after a version in order, empty if any of them is not cached. */
  Optional<List<Change>> changesAfter(long version) {
    if (version > version() || (version < version() && !recentChanges.containsKey(version + 1))) {
      return Optional.empty();
    }
    return Optional.of(new ArrayList<>(recentChanges.tailMap(version, false).values()));
  }

  private void setAndNotify(Catalogue changed, String cause) {
    current.set(changed);
    log.record(
        EventType.CATALOGUE_IN_FORCE,
        "catalogue",
        Map.of("version", changed.version(), "change", cause));
    listeners.forEach(listener -> listener.accept(changed));
  }
}
