package org.snipewick.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.snipewick.identity.InstanceId;

/** Counter of the bytes sent and received, by kind of message and instance. */
public final class MessageBytes {
  private final Map<String, Map<InstanceId, Long>> byKind = new TreeMap<>();

  /** Adds the size in bytes of a message that an instance sent or received. */
  public void add(String kind, InstanceId instance, long sizeBytes) {
    byKind.computeIfAbsent(kind, ignored -> new HashMap<>()).merge(instance, sizeBytes, Long::sum);
  }

  /** Resets all counts. */
  public void clear() {
    byKind.clear();
  }

  /** Returns the kinds of which messages were counted. */
  public Set<String> kinds() {
    return Set.copyOf(byKind.keySet());
  }

  /** Returns the bytes of all kinds by instance. */
  public Map<InstanceId, Long> all() {
    return of(kind -> true);
  }

  /** Returns the bytes of the kinds that match a predicate, by instance. */
  public Map<InstanceId, Long> of(Predicate<String> kinds) {
    Map<InstanceId, Long> sums = new HashMap<>();
    byKind.forEach(
        (kind, sizes) -> {
          if (kinds.test(kind)) {
            sizes.forEach((instance, size) -> sums.merge(instance, size, Long::sum));
          }
        });
    return sums;
  }
}
