package org.snipewick.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;
import org.snipewick.route.CallKind;
import org.snipewick.route.CallerLimits;
import org.snipewick.route.PoolPlan;
import org.snipewick.route.Route;
import org.snipewick.route.RoutingPlan;
import org.snipewick.route.TeamPlan;
import org.snipewick.route.TeamQuota;
import org.snipewick.route.WeightedPool;

/** Decodes the operators' configuration into a routing plan. */
final class PlanCodec {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Weight of the only pool of a route; without others, its value makes no difference. */
  private static final int SINGLE_POOL_WEIGHT = 100;

  /** Sums of weights over the pools of a route cannot overflow. */
  private static final int MAX_WEIGHT = 1_000_000;

  /** Unit of a quota that counts tokens; all other quotas count requests. */
  private static final String TOKENS_UNIT = "token";

  private PlanCodec() {}

  /**
   * Decodes a row of the configuration.
   *
   * @param value value of the row as the operator wrote it
   * @return routing plan
   * @throws IOException if the value is not JSON
   * @throws IllegalArgumentException if a field is missing, has the wrong type or an invalid value
   */
  static RoutingPlan decode(byte[] value) throws IOException {
    JsonNode root = JSON.readTree(value);
    Fields fields = Fields.of(root);
    return RoutingPlan.of(
        fields.integer("version"),
        fields.list("routes", PlanCodec::route),
        fields.list("services", PlanCodec::pool),
        fields.list("tenants", PlanCodec::team),
        limits(fields.object("limits")));
  }

  private static Route route(Fields fields) {
    return new Route(
        fields.text("name"),
        fields.text("host"),
        fields.text("prefix"),
        CallKind.valueOf(fields.text("kind").toUpperCase(Locale.ROOT)),
        fields.millis("timeout_ms"),
        fields.millis("target_latency_ms"),
        fields.isMissing("target_gap_ms")
            ? Optional.empty()
            : Optional.of(fields.millis("target_gap_ms")),
        tier(fields.integer("priority", 0)),
        boundedCount(fields.integer("max_attempts", 1)),
        fields.bool("public"),
        fields.bool("resumable"),
        pools(fields));
  }

  /** Returns the only pool of a route, or the weighted pools that share its requests. */
  private static List<WeightedPool> pools(Fields fields) {
    Optional<String> single = fields.optionalText("service");
    if (single.isPresent()) {
      return List.of(new WeightedPool(PoolName.of(single.get()), SINGLE_POOL_WEIGHT));
    }
    return fields.list(
        "backends",
        backend ->
            new WeightedPool(
                PoolName.of(backend.text("service")),
                backend.integerWithin("weight", 0, MAX_WEIGHT)));
  }

  private static PoolPlan pool(Fields fields) {
    return new PoolPlan(
        PoolName.of(fields.text("name")),
        boundedCount(fields.integer("max_conns", Integer.MAX_VALUE)));
  }

  private static TeamPlan team(Fields fields) {
    boolean countsTokens = fields.optionalText("unit").filter(TOKENS_UNIT::equals).isPresent();
    return new TeamPlan(
        TeamName.of(fields.text("name")),
        Set.copyOf(fields.strings("api_keys")),
        fields.isMissing("priority")
            ? Optional.empty()
            : Optional.of(tier(fields.integer("priority"))),
        new TeamQuota(
            fields.number("rate_per_s", 0),
            fields.number("burst", 0),
            countsTokens,
            fields.integer("plain_tokens", 0)));
  }

  private static CallerLimits limits(Fields fields) {
    return new CallerLimits(
        fields.integerWithin("max_body_bytes", 0, Integer.MAX_VALUE),
        fields.millis("header_timeout_ms"),
        fields.millis("idle_timeout_ms"));
  }

  /** Returns a count that is at least 1, and at most the greatest that the plan can hold. */
  private static int boundedCount(long count) {
    return (int) Math.min(Math.max(1, count), Integer.MAX_VALUE);
  }

  /**
   * Returns the tier of a priority. The platform's priorities start at 0, the most important one,
   * and have no upper limit; those for which there is no tier of their own get the lowest tier.
   */
  private static Tier tier(long priority) {
    return Tier.of((int) Math.min(Math.max(0, priority), Tier.values().length - 1) + 1);
  }
}
