package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewick.broker.BrokeredPlacer;
import org.snipewick.feed.SharedReads;
import org.snipewick.fleet.EndpointLimit;
import org.snipewick.fleet.Fleet;
import org.snipewick.fleet.FleetMember;
import org.snipewick.fleet.FleetMessages;
import org.snipewick.fleet.PeerTotals;
import org.snipewick.fleet.Totals;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.quota.TeamQuotas;
import org.snipewick.relay.RelayServer;
import org.snipewick.rollout.Rollouts;

/**
 * Reports held slots and requests in flight to the peers, and applies the sums over the peers and
 * their registrations.
 */
final class PeerReports implements Fleet.Listener {
  private final FleetMember self;
  private final TeamQuotas quotas;
  private final RelayServer relay;
  private final BrokeredPlacer placer;
  private final SharedReads sharedReads;
  private final Optional<Rollouts> rollouts;

  PeerReports(
      FleetMember self,
      TeamQuotas quotas,
      RelayServer relay,
      BrokeredPlacer placer,
      SharedReads sharedReads,
      Optional<Rollouts> rollouts) {
    this.self = requireNonNull(self, "self");
    this.quotas = requireNonNull(quotas, "quotas");
    this.relay = requireNonNull(relay, "relay");
    this.placer = requireNonNull(placer, "placer");
    this.sharedReads = requireNonNull(sharedReads, "sharedReads");
    this.rollouts = requireNonNull(rollouts, "rollouts");
  }

  /** Returns the report of this instance. */
  FleetMessages.Report report() {
    Map<String, Integer> inFlight = new HashMap<>();
    relay.inFlightByEndpoint().forEach((endpoint, count) -> inFlight.put(endpoint.value(), count));
    Map<String, EndpointLimit> limits = new HashMap<>();
    relay.reportedLimits().forEach((endpoint, limit) -> limits.put(endpoint.value(), limit));
    return new FleetMessages.Report(quotas.heldSlots(), inFlight, limits);
  }

  @Override
  public void onPeers(List<FleetMember> members) {
    List<FleetMember> all = new ArrayList<>(members);
    all.add(self);
    quotas.setInstances(all);
    Set<InstanceId> instances = new HashSet<>();
    members.forEach(member -> instances.add(member.instance()));
    relay.setPeers(instances);
    placer.setMembers(all);
    sharedReads.setPeers(self, members);
    Map<InstanceId, FailureDomain> domains = new HashMap<>();
    all.forEach(member -> domains.put(member.instance(), member.domain()));
    rollouts.ifPresent(present -> present.setMembers(domains));
  }

  @Override
  public void onPeerTotals(PeerTotals peers) {
    Totals totals = peers.totals();
    Map<Integer, InstanceId> holders = new HashMap<>();
    totals.slotHolders().forEach((slot, holder) -> holders.put(slot, InstanceId.of(holder)));
    quotas.setHolders(holders);
    Map<EndpointId, Integer> inFlight = new HashMap<>();
    totals.inFlight().forEach((endpoint, count) -> inFlight.put(EndpointId.of(endpoint), count));
    totals.limits().forEach((endpoint, limit) -> relay.adoptLimit(EndpointId.of(endpoint), limit));
    relay.setPeersInFlight(inFlight, totals.instances(), peers.validity());
  }
}
