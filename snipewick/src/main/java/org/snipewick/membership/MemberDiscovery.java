package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.InstanceList;
import org.snipewick.store.ListedInstance;
import org.snipewick.time.TimerService;

/**
 * Discovers instances from the seeds and the platform's list. The more members a domain has, the
 * less often each of them reads the list, because members exchange their claims by gossip.
 */
final class MemberDiscovery {
  /**
   * Mean time between two reads of the list by any members of the same domain. The mean period of
   * each member is this duration times the number of members.
   */
  private static final Duration LIST_PERIOD_PER_MEMBER = Duration.ofSeconds(30);

  private final MemberTable table;
  private final List<ListedInstance> seeds;
  private final InstanceList list;
  private final PeerNetwork network;
  private final TimerService timer;
  private final RandomGenerator random;
  private final MembershipSettings settings;
  private boolean listRead;
  private volatile boolean stopped;

  MemberDiscovery(
      MemberTable table,
      List<ListedInstance> seeds,
      InstanceList list,
      PeerNetwork network,
      TimerService timer,
      RandomGenerator random,
      MembershipSettings settings) {
    this.table = table;
    this.seeds = List.copyOf(seeds);
    this.list = requireNonNull(list, "list");
    this.network = network;
    this.timer = timer;
    this.random = random;
    this.settings = settings;
  }

  /** Adds the seeds and starts reading the list periodically; runs on the timer's thread. */
  void start() {
    seeds.forEach(this::add);
    readList();
  }

  /** Stops reading the list. */
  void stop() {
    stopped = true;
  }

  /** Returns whether the platform's list has been read since the start. */
  boolean isListRead() {
    return listRead;
  }

  private void readList() {
    if (stopped) {
      return;
    }
    list.entryInstances()
        .whenComplete(
            (instances, failure) -> timer.after(Duration.ZERO, () -> mergeList(instances)));
    timer.after(nextDelay(), this::readList);
  }

  /**
   * Returns the jittered delay until the next read. Once a peer has sent a heartbeat, the mean
   * delay grows with the number of members in the domain, because new instances send introductions
   * to their peers.
   */
  private Duration nextDelay() {
    boolean heartbeatReceived = !table.select(record -> record.receivedSequence() > 0).isEmpty();
    Duration mean =
        heartbeatReceived
            ? LIST_PERIOD_PER_MEMBER.multipliedBy(table.localPeers().size() + 1L)
            : settings.listPeriod();
    return Duration.ofNanos((long) (mean.toNanos() * (0.5 + random.nextDouble())));
  }

  /**
   * Merges the list into the table. Null stands for a failed read and is ignored: the failure has
   * been logged by the list, which is read again later.
   */
  private void mergeList(List<ListedInstance> instances) {
    if (instances == null) {
      return;
    }
    listRead = true;
    instances.forEach(this::add);
    Set<InstanceId> listed =
        Stream.concat(seeds.stream(), instances.stream())
            .map(instance -> InstanceId.of(instance.id()))
            .collect(Collectors.toSet());
    table.retainListed(listed);
  }

  private void add(ListedInstance instance) {
    if (!instance.isEntry()) {
      return;
    }
    InstanceId id = InstanceId.of(instance.id());
    MemberClaim claim =
        new MemberClaim(
            id,
            instance.domain(),
            instance.host(),
            instance.port(),
            0,
            0,
            MemberClaim.Status.ALIVE);
    if (table.addListed(claim, timer.nanoTime())) {
      network.setAddress(id, new InetSocketAddress(instance.host(), instance.port()));
    }
  }
}
