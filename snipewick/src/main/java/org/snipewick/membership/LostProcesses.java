package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipewick.identity.InstanceId;

/**
 * Lost processes of the local failure domain, kept for the retention time. Used by the timer's
 * thread only.
 */
final class LostProcesses {
  private final long retentionMillis;
  private final Map<Key, Long> declaredDeadEpochMillis = new HashMap<>();

  LostProcesses(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  /** Adds a process; if it is present already, the earlier of the two times is kept. */
  void add(InstanceId id, long incarnation, long atEpochMillis) {
    declaredDeadEpochMillis.merge(new Key(id, incarnation), atEpochMillis, Math::min);
  }

  /** Removes a process that turned out to be alive or to have departed as planned. */
  void remove(InstanceId id, long incarnation) {
    declaredDeadEpochMillis.remove(new Key(id, incarnation));
  }

  /** Removes entries older than the retention time; returns whether there were any. */
  boolean purge(long nowEpochMillis) {
    return declaredDeadEpochMillis.values().removeIf(at -> nowEpochMillis - at > retentionMillis);
  }

  /** Returns all entries in order of instance and incarnation. */
  List<LostProcess> sorted() {
    return declaredDeadEpochMillis.entrySet().stream()
        .map(
            entry ->
                new LostProcess(
                    entry.getKey().id(), entry.getKey().incarnation(), entry.getValue()))
        .sorted(Comparator.comparing(LostProcess::id).thenComparingLong(LostProcess::incarnation))
        .toList();
  }

  private record Key(InstanceId id, long incarnation) {

    Key {
      requireNonNull(id, "id");
    }
  }
}
