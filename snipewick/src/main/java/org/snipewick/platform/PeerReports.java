package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.snipewick.fleet.Fleet;
import org.snipewick.fleet.FleetMessages;
import org.snipewick.fleet.PeerTotals;
import org.snipewick.fleet.SpendingRecords;
import org.snipewick.fleet.Totals;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.TeamName;
import org.snipewick.quota.PeerSpending;
import org.snipewick.quota.QuotaLedger;
import org.snipewick.relay.RelayServer;

/** Reports quota use and requests in flight to the peers, and applies the sums over the peers. */
final class PeerReports implements Fleet.Listener {
  private final QuotaLedger quotas;
  private final RelayServer relay;
  private final SpendingRecords records;

  PeerReports(QuotaLedger quotas, RelayServer relay, SpendingRecords records) {
    this.quotas = requireNonNull(quotas, "quotas");
    this.relay = requireNonNull(relay, "relay");
    this.records = requireNonNull(records, "records");
  }

  /** Returns the report of this instance. */
  FleetMessages.Report report() {
    Map<String, Totals.Spent> spent = new HashMap<>();
    quotas
        .spentByThisProcess()
        .forEach(
            (team, amounts) ->
                spent.put(team.value(), new Totals.Spent(amounts.window(), amounts.lastSecond())));
    Map<String, Integer> inFlight = new HashMap<>();
    relay.inFlightByEndpoint().forEach((endpoint, count) -> inFlight.put(endpoint.value(), count));
    long uptimeMillis =
        quotas.uptime().map(Duration::toMillis).orElse(FleetMessages.FIRST_START_UPTIME_MILLIS);
    return new FleetMessages.Report(uptimeMillis, spent, inFlight);
  }

  @Override
  public void onPeers(Set<InstanceId> instances) {
    quotas.setPeers(instances.size());
    relay.setPeers(instances);
  }

  @Override
  public void onPeerTotals(PeerTotals peers) {
    Totals totals = peers.totals();
    Map<TeamName, QuotaLedger.Spent> spent = new HashMap<>();
    totals
        .spent()
        .forEach(
            (team, amounts) ->
                spent.put(
                    TeamName.of(team),
                    new QuotaLedger.Spent(amounts.window(), amounts.lastSecond())));
    quotas.setPeerSpending(
        new PeerSpending(
            spent,
            totals.instances(),
            totals.withoutHistory(),
            peers.isHistoryKnown(),
            peers.validity(),
            peers.lag()));
    Map<EndpointId, Integer> inFlight = new HashMap<>();
    totals.inFlight().forEach((endpoint, count) -> inFlight.put(EndpointId.of(endpoint), count));
    relay.setPeersInFlight(inFlight, totals.instances(), peers.validity());
  }

  @Override
  public void onGroupTotals(String group, Totals totals) {
    records.update(group, totals.spent());
  }
}
