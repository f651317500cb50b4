package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.Set;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;

/**
 * Configuration of a team.
 *
 * @param name name of the team
 * @param keys keys that authenticate its callers
 * @param tier tier of its requests; empty if the tier of the route applies
 * @param quota limit on its spending over all instances
 */
public record TeamPlan(TeamName name, Set<String> keys, Optional<Tier> tier, TeamQuota quota) {

  /** Checks that no component is null and copies the set. */
  public TeamPlan {
    requireNonNull(name, "name");
    keys = Set.copyOf(keys);
    requireNonNull(tier, "tier");
    requireNonNull(quota, "quota");
  }
}
