package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.snipewick.identity.PoolName;

/** One version of what operators demand, whole; immutable. */
public final class RoutingPlan {
  private final long version;
  private final RouteTable routes;
  private final Map<PoolName, PoolPlan> pools;
  private final List<TeamPlan> teams;
  private final Map<String, TeamPlan> teamsByKey;
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
    for (TeamPlan team : teams) {
      team.keys().forEach(key -> teamsByKey.put(key, team));
    }
  }

  /**
   * Builds a plan.
   *
   * @param version number of the version; later versions have higher ones
   * @param routes routes
   * @param pools pools, each name once
   * @param teams teams; empty if callers need no key at all
   * @param limits bounds on what callers may send
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
   * Returns the number of this version.
   *
   * @return version
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
   * @return what operators have set for it; empty if the plan does not know it
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
   * Tells whether a request of a route needs a key.
   *
   * @param route route of the request
   * @return whether there are teams and the route is not public
   */
  public boolean needsKey(Route route) {
    return !teams.isEmpty() && !route.isPublic();
  }

  /**
   * Finds the team that holds a key.
   *
   * @param key key as the caller sent it
   * @return team; empty if no team holds it
   */
  public Optional<TeamPlan> teamOf(String key) {
    return Optional.ofNullable(teamsByKey.get(requireNonNull(key, "key")));
  }

  /**
   * Returns the bounds on what callers may send.
   *
   * @return limits
   */
  public CallerLimits limits() {
    return limits;
  }
}
