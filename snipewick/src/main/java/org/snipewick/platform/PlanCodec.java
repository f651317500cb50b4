package org.snipewick.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
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
import org.snipewick.route.TokenQuota;
import org.snipewick.route.WeightedPool;

/** Decodes the operators' configuration. */
final class PlanCodec {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int WHOLE_WEIGHT = 100;
  private static final String TOKENS_UNIT = "token";

  private PlanCodec() {}

  /**
   * Decodes a configuration.
   *
   * @param value row as the operator wrote it
   * @return plan
   * @throws IOException if it is not JSON
   * @throws IllegalArgumentException if a field is missing or of another type
   */
  static RoutingPlan decode(byte[] value) throws IOException {
    JsonNode root = JSON.readTree(value);
    Fields fields = Fields.of(root);
    return RoutingPlan.of(
        fields.whole("version"),
        fields.list("routes", PlanCodec::route),
        fields.list("services", PlanCodec::pool),
        fields.list("tenants", PlanCodec::team),
        limits(fields.table("limits")));
  }

  private static Route route(Fields fields) {
    return new Route(
        fields.text("name"),
        fields.text("host"),
        fields.text("prefix"),
        CallKind.valueOf(fields.text("kind").toUpperCase(Locale.ROOT)),
        Duration.ofMillis((long) fields.number("timeout_ms")),
        Duration.ofMillis((long) fields.number("target_latency_ms")),
        fields.isMissing("target_gap_ms")
            ? Optional.empty()
            : Optional.of(Duration.ofMillis((long) fields.number("target_gap_ms"))),
        tier(fields.whole("priority", 0)),
        (int) Math.max(1, fields.whole("max_attempts", 1)),
        fields.truth("public"),
        fields.truth("resumable"),
        pools(fields));
  }

  /** Reads the one service of a route, or those among which its requests are split. */
  private static List<WeightedPool> pools(Fields fields) {
    Optional<String> single = fields.optionalText("service");
    if (single.isPresent()) {
      return List.of(new WeightedPool(PoolName.of(single.get()), WHOLE_WEIGHT));
    }
    return fields.list(
        "backends",
        each -> new WeightedPool(PoolName.of(each.text("service")), (int) each.whole("weight")));
  }

  private static PoolPlan pool(Fields fields) {
    return new PoolPlan(
        PoolName.of(fields.text("name")),
        (int) Math.max(1, fields.whole("max_conns", Integer.MAX_VALUE)));
  }

  private static TeamPlan team(Fields fields) {
    boolean countsTokens = fields.optionalText("unit").filter(TOKENS_UNIT::equals).isPresent();
    return new TeamPlan(
        TeamName.of(fields.text("name")),
        Set.copyOf(fields.texts("api_keys")),
        fields.isMissing("priority")
            ? Optional.empty()
            : Optional.of(tier(fields.whole("priority"))),
        new TokenQuota(
            fields.number("rate_per_s", 0),
            fields.number("burst", 0),
            countsTokens,
            fields.whole("plain_tokens", 0)));
  }

  private static CallerLimits limits(Fields fields) {
    return new CallerLimits(
        (int) fields.whole("max_body_bytes"),
        Duration.ofMillis(fields.whole("header_timeout_ms")),
        Duration.ofMillis(fields.whole("idle_timeout_ms")));
  }

  /** The platform counts ranks from 0, without an end; the lowest tier holds all further ones. */
  private static Tier tier(long priority) {
    return Tier.of((int) Math.min(Math.max(0, priority), Tier.values().length - 1) + 1);
  }
}
