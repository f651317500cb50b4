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

/** Tells other instances of quotas and placement, and hands on what they tell. */
final class SharedLoad implements Fleet.Listener {
  private static final long FIRST_START = -1;

  private final QuotaLedger quotas;
  private final RelayServer relay;

  SharedLoad(QuotaLedger quotas, RelayServer relay) {
    this.quotas = requireNonNull(quotas, "quotas");
    this.relay = requireNonNull(relay, "relay");
  }

  /** Returns what this instance tells the others. */
  FleetMessages.Report report() {
    Map<String, FleetMessages.Spent> spent = new HashMap<>();
    quotas
        .spentHere()
        .forEach(
            (team, here) ->
                spent.put(team.value(), new FleetMessages.Spent(here.total(), here.recent())));
    Map<String, Integer> present = new HashMap<>();
    relay.inFlight().forEach((endpoint, count) -> present.put(endpoint.value(), count));
    long uptimeMillis = quotas.uptime().map(Duration::toMillis).orElse(FIRST_START);
    return new FleetMessages.Report(uptimeMillis, spent, present);
  }

  @Override
  public void onMembers(Set<InstanceId> instances) {
    quotas.listed(instances);
    relay.setPeers(instances);
  }

  @Override
  public void onReport(InstanceId from, FleetMessages.Report report) {
    Map<TeamName, QuotaLedger.Spent> spent = new HashMap<>();
    report
        .spent()
        .forEach(
            (team, told) ->
                spent.put(TeamName.of(team), new QuotaLedger.Spent(told.total(), told.recent())));
    Optional<Duration> uptime =
        report.uptimeMillis() == FIRST_START
            ? Optional.empty()
            : Optional.of(Duration.ofMillis(report.uptimeMillis()));
    quotas.report(from, uptime, spent);
    Map<EndpointId, Integer> present = new HashMap<>();
    report.present().forEach((endpoint, count) -> present.put(EndpointId.of(endpoint), count));
    relay.peerInFlight(from, present);
  }
}
