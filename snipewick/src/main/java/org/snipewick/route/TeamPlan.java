package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.Set;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;

/**
 * A team as operators have set it.
 *
 * @param name name
 * @param keys keys by which its callers show who they are
 * @param tier class of its requests; empty if the route decides
 * @param quota limit on what it may spend
 */
public record TeamPlan(TeamName name, Set<String> keys, Optional<Tier> tier, TokenQuota quota) {

  /** Checks and copies the parts. */
  public TeamPlan {
    requireNonNull(name, "name");
    keys = Set.copyOf(keys);
    requireNonNull(tier, "tier");
    requireNonNull(quota, "quota");
  }
}
