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
 * Finds instances by the platform's list. The more members a domain has the more seldom each reads
 * the list, as the others pass on what they find.
 */
final class Discovery {
  private static final Duration PERIOD_PER_MEMBER = Duration.ofSeconds(30);

  private final MemberTable table;
  private final List<ListedInstance> seeds;
  private final InstanceList list;
  private final PeerNetwork network;
  private final TimerService timer;
  private final RandomGenerator random;
  private final MembershipSettings settings;
  private boolean listRead;
  private volatile boolean stopped;

  Discovery(
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

  void start() {
    seeds.forEach(this::add);
    read();
  }

  void stop() {
    stopped = true;
  }

  /** Tells whether the platform's list has been read since the start. */
  boolean isListRead() {
    return listRead;
  }

  private void read() {
    if (stopped) {
      return;
    }
    list.entries()
        .whenComplete((instances, failure) -> timer.after(Duration.ZERO, () -> take(instances)));
    timer.after(nextDelay(), this::read);
  }

  /** New instances make themselves known, so that members of a group need to read seldom. */
  private Duration nextDelay() {
    boolean grouped = !table.select(record -> record.receivedSequence() > 0).isEmpty();
    Duration mean =
        grouped
            ? PERIOD_PER_MEMBER.multipliedBy(table.neighbours().size() + 1L)
            : settings.listPeriod();
    return Duration.ofNanos((long) (mean.toNanos() * (0.5 + random.nextDouble())));
  }

  /** Takes the list, null if it could not be read, which the list logs and a later read mends. */
  private void take(List<ListedInstance> instances) {
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
    Claim claim =
        new Claim(
            id, instance.domain(), instance.host(), instance.port(), 0, 0, Claim.Status.ALIVE);
    if (table.addListed(claim, timer.nanoTime())) {
      network.locate(id, new InetSocketAddress(instance.host(), instance.port()));
    }
  }
}
