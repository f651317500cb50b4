package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipewick.identity.InstanceId;

/** Processes of the own failure domain that were lost within the retention time. */
final class Losses {
  private final long retentionMillis;
  private final Map<Key, Long> lostAt = new HashMap<>();

  Losses(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  void add(InstanceId id, long incarnation, long atEpochMillis) {
    lostAt.merge(new Key(id, incarnation), atEpochMillis, Math::min);
  }

  void remove(InstanceId id, long incarnation) {
    lostAt.remove(new Key(id, incarnation));
  }

  /** Drops what is older than the retention time; returns whether there was any. */
  boolean purge(long nowEpochMillis) {
    return lostAt.values().removeIf(at -> nowEpochMillis - at > retentionMillis);
  }

  List<Loss> sorted() {
    return lostAt.entrySet().stream()
        .map(entry -> new Loss(entry.getKey().id(), entry.getKey().incarnation(), entry.getValue()))
        .sorted(Comparator.comparing(Loss::id).thenComparingLong(Loss::incarnation))
        .toList();
  }

  private record Key(InstanceId id, long incarnation) {

    Key {
      requireNonNull(id, "id");
    }
  }
}
