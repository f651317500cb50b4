package org.snipewick.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.MessageBytes;

/**
 * Measures the bytes of peer messages by kind, and guards the bound on those of team limits at the
 * design size.
 */
class ControlBytesTest {
  private static final int MEASURED_SECONDS = 10;
  private static final int WARM_UP_SECONDS = 60;

  /** Bytes per second that any one instance may send and receive for team limits. */
  private static final long MAX_LIMIT_BYTES_PER_SECOND = 5_000;

  private static final int ENDPOINTS_PER_DOMAIN = 690;
  private static final int MODELS = 27;
  private static final int TEAMS = 2_000;
  private static final long LOAD_REPORT_BYTES = 326;

  /** Kinds of the messages that are sent for requests; all others are control messages. */
  private static final Predicate<String> SERVING =
      kind -> kind.matches("pool\\.(Offer|Decided|Report|Missing)");

  /**
   * Runs a few instances with the design size's requests and endpoints per instance. The system
   * properties control.domains, control.instances (per domain) and control.requests (per second)
   * set another size.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  @Timeout(590)
  void shouldKeepLimitMessagesBelowBoundWhenTeamsAreMany(boolean skewed) {
    int domains = Integer.getInteger("control.domains", 2);
    int instancesPerDomain = Integer.getInteger("control.instances", 4);
    int requestsPerSecond = Integer.getInteger("control.requests", 120);
    ControlCluster controlCluster =
        new ControlCluster(
            new ControlCluster.Size(
                domains,
                instancesPerDomain,
                ENDPOINTS_PER_DOMAIN,
                MODELS,
                TEAMS,
                requestsPerSecond,
                skewed),
            LOAD_REPORT_BYTES,
            3);
    controlCluster.start();
    controlCluster.cluster.advance(Duration.ofSeconds(WARM_UP_SECONDS));
    controlCluster.cluster.bytes.clear();
    controlCluster.admitted = 0;
    controlCluster.refusals.clear();
    controlCluster.cluster.advance(Duration.ofSeconds(MEASURED_SECONDS));
    int instances = domains * instancesPerDomain;
    System.out.printf(
        Locale.ROOT,
        "control: nodes=%d skewed=%s admitted/s=%d refused=%s%n",
        instances,
        skewed,
        controlCluster.admitted / MEASURED_SECONDS,
        controlCluster.refusals);
    MessageBytes bytes = controlCluster.cluster.bytes;
    bytes.kinds().stream().sorted().forEach(kind -> print(kind, bytes.of(kind::equals), instances));
    print("serving", bytes.of(SERVING), instances);
    print("control", bytes.of(SERVING.negate()), instances);
    long limitBytesPerSecond =
        print("limits", bytes.of(kind -> kind.startsWith("limits.")), instances);
    assertThat(limitBytesPerSecond).isLessThan(MAX_LIMIT_BYTES_PER_SECOND);
  }

  /**
   * Prints the mean and the maximum over the instances and returns the maximum, in bytes a second.
   */
  private static long print(String kind, Map<InstanceId, Long> bytes, int instances) {
    long sumBytes = bytes.values().stream().mapToLong(Long::longValue).sum();
    long maxBytes = bytes.values().stream().mapToLong(Long::longValue).max().orElse(0);
    System.out.printf(
        Locale.ROOT,
        "  %-28s mean=%7d worst=%7d bytes/s a node%n",
        kind,
        sumBytes / instances / MEASURED_SECONDS,
        maxBytes / MEASURED_SECONDS);
    return maxBytes / MEASURED_SECONDS;
  }
}
