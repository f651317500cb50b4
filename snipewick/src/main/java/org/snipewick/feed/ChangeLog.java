package org.snipewick.feed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewick.store.EraTracker;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;

/** Latest changes of a table by version, and the proof that they are complete. Not thread-safe. */
final class ChangeLog {
  /** Bounds the work of a query; a follower is usually at most one entry behind its reader. */
  private static final int MAX_ENTRIES = 64;

  /** Bounds memory; a configuration has some tens of kilobytes. */
  private static final long MAX_BYTES = 1024L * 1024;

  private static final long NO_VERSION = -1;

  private final Deque<Entry> entries = new ArrayDeque<>();
  private long bytes;
  private long oldestVersion = NO_VERSION;
  private long version = NO_VERSION;
  private long era = EraTracker.NO_ERA;
  private Optional<Moment> provenAt = Optional.empty();
  private long proofNumber;
  private long firstProofNumber;

  /** Changes up to the version of the delta, since that of the entry before. */
  private record Entry(RowChanges.Delta delta, long bytes) {}

  /** Starts anew after all rows have been read at a version. */
  void reset(long readVersion, long readEra, Moment readProvenAt) {
    clear();
    era = readEra;
    oldestVersion = readVersion;
    version = readVersion;
    prove(readProvenAt);
  }

  /** Discards the changes and the proof, as the history of the table is lost. */
  void clear() {
    entries.clear();
    bytes = 0;
    oldestVersion = NO_VERSION;
    version = NO_VERSION;
    provenAt = Optional.empty();
    firstProofNumber = proofNumber + 1;
  }

  /** Adds the changes since a version. Those since another one than the latest start it anew. */
  void append(long since, RowChanges.Delta delta, Moment deltaProvenAt) {
    if (since != version) {
      clear();
      oldestVersion = since;
    }
    version = Math.max(since, delta.version());
    if (!delta.written().isEmpty() || !delta.removedKeys().isEmpty()) {
      long size = sizeOf(delta);
      entries.add(new Entry(delta, size));
      bytes += size;
    }
    while (entries.size() > MAX_ENTRIES || bytes > MAX_BYTES) {
      Entry oldest = entries.remove();
      bytes -= oldest.bytes();
      oldestVersion = Math.max(oldestVersion, oldest.delta().version());
    }
    prove(deltaProvenAt);
  }

  /** A proof of an earlier version holds for a later one too, so the latest one is kept. */
  private void prove(Moment moment) {
    if (provenAt.isEmpty() || moment.monotonicNanos() - provenAt.get().monotonicNanos() > 0) {
      provenAt = Optional.of(moment);
    }
    proofNumber++;
  }

  private static long sizeOf(RowChanges.Delta delta) {
    long size = 0;
    for (TableRow row : delta.written()) {
      size += row.key().length() + row.value().length;
    }
    for (String key : delta.removedKeys()) {
      size += key.length();
    }
    return size;
  }

  /** Returns the version up to which the changes are complete; negative if none is known. */
  long version() {
    return version;
  }

  /** Returns the era of the store in which the versions count. */
  long era() {
    return era;
  }

  /** Returns the moment as of which the version is current; empty if no version is known. */
  Optional<Moment> provenAt() {
    return provenAt;
  }

  /** Returns the number of the latest proof, which differs from those before. */
  long proofNumber() {
    return proofNumber;
  }

  /**
   * Returns the number of the first proof of the present history. Versions that go with earlier
   * proofs may belong to a history that the store has lost.
   */
  long firstProofNumber() {
    return firstProofNumber;
  }

  /**
   * Returns the changes after a version, each row once as last written. An entry may begin before
   * the version; rows written up to the version are then omitted. Keys of rows removed up to it
   * remain, as removals carry no version; to remove an absent row has no effect.
   *
   * @return changes up to the latest version; empty if they are no longer kept
   */
  Optional<RowChanges.Delta> since(long wanted) {
    if (version == NO_VERSION || wanted < oldestVersion) {
      return Optional.empty();
    }
    Map<String, TableRow> written = new LinkedHashMap<>();
    Set<String> removed = new LinkedHashSet<>();
    for (Entry entry : entries) {
      if (entry.delta().version() <= wanted) {
        continue;
      }
      for (String key : entry.delta().removedKeys()) {
        written.remove(key);
        removed.remove(key);
        removed.add(key);
      }
      for (TableRow row : entry.delta().written()) {
        if (row.version() > wanted) {
          written.remove(row.key());
          written.put(row.key(), row);
          removed.remove(row.key());
        }
      }
    }
    List<TableRow> rows = new ArrayList<>(written.values());
    return Optional.of(new RowChanges.Delta(rows, List.copyOf(removed), version, era));
  }
}
