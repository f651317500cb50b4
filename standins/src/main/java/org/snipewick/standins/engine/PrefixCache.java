package org.snipewick.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Least-recently-used cache of prompt blocks that publishes an event per stored or evicted block.
 */
final class PrefixCache {
  private static final int MAX_KEPT_EVENTS = 1_000;

  private final int maxBlocks;
  private final Set<Long> blocks = new LinkedHashSet<>();
  private final Deque<Event> events = new ArrayDeque<>();
  private long sequence;

  PrefixCache(int maxBlocks) {
    this.maxBlocks = maxBlocks;
  }

  /** Storage or eviction of a block and its time. */
  record Event(long sequence, String kind, long hash, long atMillis) {}

  /** An event as it is returned to callers. */
  record Published(long sequence, String kind, long hash) {}

  /**
   * Events that a call returns.
   *
   * @param next sequence number after which the next call reads
   * @param gap whether events before the first one are no longer kept
   * @param events events in order of their sequence numbers
   */
  record Page(long next, boolean gap, List<Published> events) {}

  /** Returns the number of leading blocks that are cached and marks them as recently used. */
  int match(List<Long> hashes) {
    int matched = 0;
    while (matched < hashes.size() && blocks.remove(hashes.get(matched))) {
      blocks.add(hashes.get(matched));
      matched++;
    }
    return matched;
  }

  void store(List<Long> hashes, long nowEpochMillis) {
    for (long hash : hashes) {
      if (!blocks.remove(hash)) {
        publish("stored", hash, nowEpochMillis);
      }
      blocks.add(hash);
    }
    while (blocks.size() > maxBlocks) {
      Iterator<Long> oldest = blocks.iterator();
      publish("evicted", oldest.next(), nowEpochMillis);
      oldest.remove();
    }
  }

  /** Returns the events after a sequence number that are not newer than a time. */
  Page read(long after, long untilEpochMillis) {
    List<Published> page =
        events.stream()
            .filter(event -> event.sequence() > after && event.atMillis() <= untilEpochMillis)
            .map(event -> new Published(event.sequence(), event.kind(), event.hash()))
            .toList();
    boolean gap = !page.isEmpty() && page.get(0).sequence() > after + 1;
    return new Page(page.isEmpty() ? after : page.get(page.size() - 1).sequence(), gap, page);
  }

  private void publish(String kind, long hash, long nowEpochMillis) {
    sequence++;
    events.addLast(new Event(sequence, kind, hash, nowEpochMillis));
    if (events.size() > MAX_KEPT_EVENTS) {
      events.removeFirst();
    }
  }
}
