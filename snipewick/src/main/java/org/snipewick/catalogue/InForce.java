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
 * The catalogue in force and its recent changes. It only moves to higher versions. Changes come
 * from the timer's thread; reading the catalogue is safe from any thread.
 */
final class InForce {
  private static final int MAX_RECENT = 200;

  private final AtomicReference<Catalogue> current = new AtomicReference<>(Catalogue.empty());
  private final NavigableMap<Long, Change> recent = new TreeMap<>();
  private final List<Consumer<Catalogue>> listeners = new CopyOnWriteArrayList<>();
  private final EventLog log;

  InForce(EventLog log) {
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

  /** Applies a change if it makes the next version; returns whether it did. */
  boolean apply(long version, Change change) {
    if (version != version() + 1) {
      return false;
    }
    recent.put(version, change);
    if (recent.size() > MAX_RECENT) {
      recent.pollFirstEntry();
    }
    set(current().withEdits(change.edits()), change.changeId());
    return true;
  }

  /** Takes a whole catalogue over if its version is higher; returns whether it is. */
  boolean replace(Catalogue snapshot) {
    if (snapshot.version() <= version()) {
      return false;
    }
    recent.clear();
    set(snapshot, "snapshot");
    return true;
  }

  Optional<Change> find(long version) {
    return Optional.ofNullable(recent.get(version));
  }

  /** Returns the changes after a version, empty if they are no longer all remembered. */
  Optional<List<Change>> changesAfter(long version) {
    if (version > version() || (version < version() && !recent.containsKey(version + 1))) {
      return Optional.empty();
    }
    return Optional.of(new ArrayList<>(recent.tailMap(version, false).values()));
  }

  private void set(Catalogue changed, String origin) {
    current.set(changed);
    log.record(
        EventType.CATALOGUE_IN_FORCE,
        "catalogue",
        Map.of("version", changed.version(), "change", origin));
    listeners.forEach(listener -> listener.accept(changed));
  }
}
