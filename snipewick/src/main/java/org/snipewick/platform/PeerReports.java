package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewick.fleet.Fleet;
import org.snipewick.fleet.FleetMessages;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.TeamName;
import org.snipewick.quota.QuotaLedger;
import org.snipewick.relay.RelayServer;

/** Reports quota use and requests in flight to the peers, and applies the reports of the peers. */
final class PeerReports implements Fleet.Listener {
  /** Value that is reported instead of the uptime at the first start of the whole system. */
  private static final long FIRST_START_UPTIME_MILLIS = -1;

  private final QuotaLedger quotas;
  private final RelayServer relay;

  PeerReports(QuotaLedger quotas, RelayServer relay) {
    this.quotas = requireNonNull(quotas, "quotas");
    this.relay = requireNonNull(relay, "relay");
  }

  /** Returns the report of this instance. */
  FleetMessages.Report report() {
    Map<String, FleetMessages.Spent> spent = new HashMap<>();
    quotas
        .spentByThisProcess()
        .forEach(
            (team, amounts) ->
                spent.put(
                    team.value(), new FleetMessages.Spent(amounts.total(), amounts.recent())));
    Map<String, Integer> inFlight = new HashMap<>();
    relay.inFlightByEndpoint().forEach((endpoint, count) -> inFlight.put(endpoint.value(), count));
    long uptimeMillis = quotas.uptime().map(Duration::toMillis).orElse(FIRST_START_UPTIME_MILLIS);
    return new FleetMessages.Report(uptimeMillis, spent, inFlight);
  }

  @Override
  public void onPeers(Set<InstanceId> instances) {
    quotas.setPeers(instances);
    relay.setPeers(instances);
  }

  @Override
  public void onReport(InstanceId from, FleetMessages.Report report) {
    Map<TeamName, QuotaLedger.Spent> spent = new HashMap<>();
    report
        .spent()
        .forEach(
            (team, amounts) ->
                spent.put(
                    TeamName.of(team), new QuotaLedger.Spent(amounts.total(), amounts.recent())));
    Optional<Duration> uptime =
        report.uptimeMillis() == FIRST_START_UPTIME_MILLIS
            ? Optional.empty()
            : Optional.of(Duration.ofMillis(report.uptimeMillis()));
    quotas.addPeerSpending(from, uptime, spent);
    Map<EndpointId, Integer> inFlight = new HashMap<>();
    report.inFlight().forEach((endpoint, count) -> inFlight.put(EndpointId.of(endpoint), count));
    relay.setPeerInFlight(from, inFlight);
  }
}
