package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.TeamName;

/** One complete version of the configured routes, pools, teams and limits. Immutable. */
public final class RoutingPlan {
  private final long version;
  private final RouteTable routes;
  private final Map<PoolName, PoolPlan> pools;
  private final List<TeamPlan> teams;
  private final Map<String, TeamPlan> teamsByKey;
  private final Map<TeamName, TeamQuota> quotas;
  private final CallerLimits limits;

  private RoutingPlan(
      long version,
      RouteTable routes,
      List<PoolPlan> pools,
      List<TeamPlan> teams,
      CallerLimits limits) {
    this.version = version;
    this.routes = requireNonNull(routes, "routes");
    this.pools = pools.stream().collect(Collectors.toUnmodifiableMap(PoolPlan::name, pool -> pool));
    this.teams = List.copyOf(teams);
    this.limits = requireNonNull(limits, "limits");
    this.teamsByKey = new HashMap<>();
    this.quotas = new HashMap<>();
    for (TeamPlan team : teams) {
      quotas.put(team.name(), team.quota());
      team.keys().forEach(key -> teamsByKey.put(key, team));
    }
  }

  /**
   * Creates a plan.
   *
   * @param version version number; later versions have higher numbers
   * @param routes routes
   * @param pools pools with distinct names
   * @param teams teams; empty if no caller needs a key
   * @param limits limits on what callers send
   * @return plan
   */
  public static RoutingPlan of(
      long version,
      List<Route> routes,
      List<PoolPlan> pools,
      List<TeamPlan> teams,
      CallerLimits limits) {
    return new RoutingPlan(version, RouteTable.of(routes), pools, teams, limits);
  }

  /**
   * Returns the version number.
   *
   * @return version number
   */
  public long version() {
    return version;
  }

  /**
   * Returns the routes.
   *
   * @return table of routes
   */
  public RouteTable routes() {
    return routes;
  }

  /**
   * Finds a pool.
   *
   * @param name name of the pool
   * @return its configuration; empty if the plan does not contain it
   */
  public Optional<PoolPlan> pool(PoolName name) {
    return Optional.ofNullable(pools.get(requireNonNull(name, "name")));
  }

  /**
   * Returns the teams.
   *
   * @return teams in the order of the plan
   */
  public List<TeamPlan> teams() {
    return teams;
  }

  /**
   * Returns whether requests of a route need a key.
   *
   * @param route route of the requests
   * @return whether there are teams and the route is not public
   */
  public boolean needsKey(Route route) {
    return !teams.isEmpty() && !route.isPublic();
  }

  /**
   * Finds the team that a key belongs to.
   *
   * @param key key as sent by the caller
   * @return team; empty if the key belongs to none
   */
  public Optional<TeamPlan> teamOf(String key) {
    return Optional.ofNullable(teamsByKey.get(requireNonNull(key, "key")));
  }

  /**
   * Returns the quota of a team.
   *
   * @param team name of a team
   * @return its quota; without a limit if the plan does not contain the team
   */
  public TeamQuota quotaOf(TeamName team) {
    return quotas.getOrDefault(requireNonNull(team, "team"), TeamQuota.UNLIMITED);
  }

  /**
   * Returns the limits on what callers send.
   *
   * @return limits
   */
  public CallerLimits limits() {
    return limits;
  }
}
