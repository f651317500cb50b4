package org.snipewick.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Cache of prompt blocks that evicts the least recently used one, with the events it publishes. */
final class PrefixCache {
  private static final int MAX_EVENTS = 1_000;

  private final int maxBlocks;
  private final Set<Long> blocks = new LinkedHashSet<>();
  private final Deque<Event> events = new ArrayDeque<>();
  private long sequence;

  PrefixCache(int maxBlocks) {
    this.maxBlocks = maxBlocks;
  }

  record Event(long sequence, String kind, long hash, long atMillis) {}

  record Published(long sequence, String kind, long hash) {}

  record Page(long next, boolean gap, List<Published> events) {}

  /** Returns how many leading blocks are cached and marks them as used. */
  int match(List<Long> hashes) {
    int matched = 0;
    while (matched < hashes.size() && blocks.remove(hashes.get(matched))) {
      blocks.add(hashes.get(matched));
      matched++;
    }
    return matched;
  }

  void store(List<Long> hashes, long nowMillis) {
    for (long hash : hashes) {
      if (!blocks.remove(hash)) {
        publish("stored", hash, nowMillis);
      }
      blocks.add(hash);
    }
    while (blocks.size() > maxBlocks) {
      Iterator<Long> oldest = blocks.iterator();
      publish("evicted", oldest.next(), nowMillis);
      oldest.remove();
    }
  }

  /** Returns the events after a sequence number that are old enough to be published. */
  Page read(long after, long untilMillis) {
    List<Published> page =
        events.stream()
            .filter(event -> event.sequence() > after && event.atMillis() <= untilMillis)
            .map(event -> new Published(event.sequence(), event.kind(), event.hash()))
            .toList();
    boolean gap = !page.isEmpty() && page.get(0).sequence() > after + 1;
    return new Page(page.isEmpty() ? after : page.get(page.size() - 1).sequence(), gap, page);
  }

  private void publish(String kind, long hash, long nowMillis) {
    sequence++;
    events.addLast(new Event(sequence, kind, hash, nowMillis));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }
}
