package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.IpAddress;
import org.snipewick.quota.QuotaBounds;
import org.snipewick.rollout.RolloutBounds;

/**
 * Settings that the platform passes to a process.
 *
 * @param instance name of the instance; the platform's "node"
 * @param domain failure domain; the platform's "zone"
 * @param callers address for callers; "listen.front"
 * @param health address for the load balancer's probes and for metrics; "listen.ready"
 * @param peers address for peers, with the first port of "port_range"
 * @param store address of the store; "provider.address"
 * @param keyRevocation time after which no instance may accept a revoked API key;
 *     "bounds.revoke_ms"
 * @param stopGrace time between the signal to stop and the forced end of the process;
 *     "bounds.grace_s"
 * @param retriesPerRequest number of retries allowed per request to a pool;
 *     "bounds.retry_budget_ratio"
 * @param additionalRetries number of retries allowed in a window beyond that; "bounds.budget_slack"
 * @param retryWindow time over which requests and retries are counted; "bounds.budget_window_s"
 * @param quotas how far quotas may be exceeded; "bounds.quota_window_s", "quota_over" and
 *     "quota_slack"
 * @param cores cores, or share of a core, that the process may use; "limits.cpu_share" times
 *     "limits.cores", empty if one of them is missing
 * @param rollouts bounds of rollouts, empty unless "contracts" lists them; "bounds.expose_share",
 *     "expose_slack" and "rollback_ms"
 * @param isFirstStart whether the whole system starts for the first time; "first_start"
 */
public record NodeSettings(
    InstanceId instance,
    FailureDomain domain,
    InetSocketAddress callers,
    InetSocketAddress health,
    InetSocketAddress peers,
    InetSocketAddress store,
    Duration keyRevocation,
    Duration stopGrace,
    double retriesPerRequest,
    double additionalRetries,
    Duration retryWindow,
    QuotaBounds quotas,
    OptionalDouble cores,
    Optional<RolloutBounds> rollouts,
    boolean isFirstStart) {
  private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());
  private static final String ROLLOUT_CONTRACT = "rollout";
  private static final double MILLIS_PER_SECOND = 1000;

  /** Checks the components. */
  public NodeSettings {
    requireNonNull(instance, "instance");
    requireNonNull(domain, "domain");
    requireNonNull(callers, "callers");
    requireNonNull(health, "health");
    requireNonNull(peers, "peers");
    requireNonNull(store, "store");
    requireNonNull(keyRevocation, "keyRevocation");
    requireNonNull(stopGrace, "stopGrace");
    requireNonNull(retryWindow, "retryWindow");
    requireNonNull(quotas, "quotas");
    requireNonNull(cores, "cores");
    requireNonNull(rollouts, "rollouts");
  }

  /**
   * Reads a settings file.
   *
   * @param file file in the platform's format
   * @return settings
   * @throws org.snipewick.failure.FailureException with {@link FailureType#SETTINGS_INVALID} if the
   *     file cannot be read, or a field is missing or invalid
   */
  public static NodeSettings read(Path file) {
    try {
      return parse(YAML.readTree(file.toFile()));
    } catch (IOException | IllegalArgumentException failure) {
      throw Failure.notRun(
              FailureType.SETTINGS_INVALID, file + ": " + String.valueOf(failure.getMessage()))
          .toException();
    }
  }

  private static NodeSettings parse(JsonNode root) {
    Fields fields = Fields.of(root);
    Fields bounds = fields.object("bounds");
    Fields listen = fields.object("listen");
    return new NodeSettings(
        InstanceId.of(fields.text("node")),
        FailureDomain.of(fields.text("zone")),
        listen.address("front"),
        listen.address("ready"),
        IpAddress.withPort(fields.text("ip"), firstPort(root.path("port_range"))),
        fields.object("provider").address("address"),
        Duration.ofMillis(bounds.integer("revoke_ms")),
        seconds(bounds.number("grace_s")),
        bounds.number("retry_budget_ratio"),
        bounds.number("budget_slack"),
        seconds(bounds.number("budget_window_s")),
        new QuotaBounds(
            seconds(bounds.number("quota_window_s")),
            bounds.number("quota_over"),
            bounds.number("quota_slack")),
        cores(fields),
        rollouts(fields, bounds),
        fields.bool("first_start"));
  }

  private static OptionalDouble cores(Fields fields) {
    if (fields.isMissing("limits")) {
      return OptionalDouble.empty();
    }
    Fields limits = fields.object("limits");
    double cores = limits.number("cpu_share", 0) * limits.number("cores", 0);
    return cores > 0 ? OptionalDouble.of(cores) : OptionalDouble.empty();
  }

  private static Optional<RolloutBounds> rollouts(Fields fields, Fields bounds) {
    return fields.strings("contracts").contains(ROLLOUT_CONTRACT)
        ? Optional.of(
            new RolloutBounds(
                bounds.number("expose_share"),
                bounds.number("expose_slack"),
                bounds.millis("rollback_ms")))
        : Optional.empty();
  }

  private static int firstPort(JsonNode range) {
    JsonNode first = range.path(0);
    if (!first.canConvertToInt() || first.intValue() < 1) {
      throw new IllegalArgumentException("field port_range does not begin with a port");
    }
    return first.intValue();
  }

  private static Duration seconds(double value) {
    return Duration.ofMillis((long) (value * MILLIS_PER_SECOND));
  }
}
