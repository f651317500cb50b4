package org.snipewick.feed;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.snipewick.fleet.FleetMember;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Rendezvous;

/**
 * Readers of a failure domain, as selected from the registered instances by the same rule
 * everywhere.
 *
 * @param isReader whether this instance is one of them
 * @param readers readers in the order in which this instance prefers them; empty if each instance
 *     of the domain reads the store itself
 */
record ReaderSelection(boolean isReader, List<InstanceId> readers) {
  /** Smaller fleets make few calls to the store. */
  private static final int MAX_UNSHARED_INSTANCES = 16;

  /** In a smaller domain, two readers would save next to nothing. */
  private static final int MAX_UNSHARED_DOMAIN_INSTANCES = 4;

  private static final int INSTANCES_PER_READER = 16;
  private static final int MIN_READERS = 2;
  private static final String HASH_KEY_PREFIX = "store-readers/";

  ReaderSelection {
    readers = List.copyOf(readers);
  }

  /** Returns the selection without readers. */
  static ReaderSelection none() {
    return new ReaderSelection(false, List.of());
  }

  /** Selects the readers from all registered instances, of which this one may be missing. */
  static ReaderSelection of(FleetMember self, Collection<FleetMember> peers) {
    requireNonNull(self, "self");
    List<InstanceId> domain = new ArrayList<>();
    int instances = 1;
    for (FleetMember peer : peers) {
      if (!peer.instance().equals(self.instance())) {
        instances++;
        if (peer.domain().equals(self.domain())) {
          domain.add(peer.instance());
        }
      }
    }
    domain.add(self.instance());
    if (instances <= MAX_UNSHARED_INSTANCES || domain.size() <= MAX_UNSHARED_DOMAIN_INSTANCES) {
      return none();
    }
    int count =
        Math.max(MIN_READERS, (domain.size() + INSTANCES_PER_READER - 1) / INSTANCES_PER_READER);
    List<InstanceId> readers =
        Rendezvous.rank(HASH_KEY_PREFIX + self.domain().value(), domain, InstanceId::value)
            .subList(0, count);
    domain.removeAll(readers);
    domain.sort(Comparator.comparing(InstanceId::value));
    return new ReaderSelection(
        readers.contains(self.instance()), inOrderOf(domain.indexOf(self.instance()), readers));
  }

  /** Assigns the followers to the readers in turn, so that all have the same number. */
  private static List<InstanceId> inOrderOf(int follower, List<InstanceId> readers) {
    List<InstanceId> ordered = new ArrayList<>(readers);
    Collections.rotate(ordered, -Math.max(0, follower));
    return ordered;
  }
}
