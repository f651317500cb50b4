package org.snipewick.route;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;

/** Routing plans for tests. */
public final class Plans {
  /** Host of all routes. */
  public static final String HOST = "desk.example";

  /** Key of the only team. */
  public static final String KEY = "key-1";

  private Plans() {}

  /**
   * Returns a route of kind SAFE to a pool of the same name as the route.
   *
   * @param name name of the route
   * @param prefix prefix of the paths
   * @return route that allows up to two attempts
   */
  public static Route route(String name, String prefix) {
    return route(name, prefix, CallKind.SAFE, 2, false);
  }

  /**
   * Returns a route to a pool of the same name.
   *
   * @param name name of the route
   * @param prefix prefix of the paths
   * @param kind kind of the requests
   * @param maxAttempts maximum number of endpoints that a request is sent to
   * @param isResumable whether streams may be resumed
   * @return route
   */
  public static Route route(
      String name, String prefix, CallKind kind, int maxAttempts, boolean isResumable) {
    return new Route(
        name,
        HOST,
        prefix,
        kind,
        Duration.ofSeconds(5),
        Duration.ofMillis(300),
        kind == CallKind.STREAM ? Optional.of(Duration.ofMillis(400)) : Optional.empty(),
        Tier.TWO,
        maxAttempts,
        false,
        isResumable,
        List.of(new WeightedPool(PoolName.of(name), 100)));
  }

  /**
   * Returns a plan with one team and limits that tests do not reach.
   *
   * @param version version
   * @param routes routes
   * @return plan
   */
  public static RoutingPlan plan(long version, Route... routes) {
    return RoutingPlan.of(version, List.of(routes), List.of(), List.of(team()), limits());
  }

  /**
   * Returns the only team.
   *
   * @return team without a quota
   */
  public static TeamPlan team() {
    return new TeamPlan(
        TeamName.of("dispatchers"), Set.of(KEY), Optional.empty(), TeamQuota.UNLIMITED);
  }

  /**
   * Returns limits that tests do not reach.
   *
   * @return limits
   */
  public static CallerLimits limits() {
    return new CallerLimits(100_000, Duration.ofSeconds(3), Duration.ofSeconds(15));
  }
}
