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

/** Measures the bytes of control by kind of message; the bounds are those of the design size. */
class ControlBytesTest {
  private static final int SECONDS = 10;
  private static final int WARM_UP_SECONDS = 60;
  private static final long MAX_LIMIT_BYTES_PER_SECOND = 5_000;
  private static final int ENDPOINTS = 690;
  private static final int MODELS = 27;
  private static final int TEAMS = 2_000;
  private static final long REPORT_BYTES = 326;
  private static final Predicate<String> SERVING =
      kind -> kind.matches("pool\\.(Offer|Decided|Report|Missing)");

  /**
   * Runs few instances at the design size's requests and endpoints for each; the system properties
   * control.domains, control.instances and control.requests set another size.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  @Timeout(590)
  void shouldKeepLimitMessagesBelowBoundWhenTeamsAreMany(boolean skewed) {
    int domains = Integer.getInteger("control.domains", 2);
    int perDomain = Integer.getInteger("control.instances", 4);
    int rate = Integer.getInteger("control.requests", 120);
    ControlCluster control =
        new ControlCluster(
            new ControlCluster.Size(domains, perDomain, ENDPOINTS, MODELS, TEAMS, rate, skewed),
            REPORT_BYTES,
            3);
    control.start();
    control.cluster.advance(Duration.ofSeconds(WARM_UP_SECONDS));
    control.cluster.bytes.clear();
    control.admitted = 0;
    control.refusals.clear();
    control.cluster.advance(Duration.ofSeconds(SECONDS));
    int nodes = domains * perDomain;
    System.out.printf(
        Locale.ROOT,
        "control: nodes=%d skewed=%s admitted/s=%d refused=%s%n",
        nodes,
        skewed,
        control.admitted / SECONDS,
        control.refusals);
    MessageBytes bytes = control.cluster.bytes;
    bytes.kinds().stream().sorted().forEach(kind -> print(kind, bytes.of(kind::equals), nodes));
    print("serving", bytes.of(SERVING), nodes);
    print("control", bytes.of(SERVING.negate()), nodes);
    long limits = print("limits", bytes.of(kind -> kind.startsWith("limits.")), nodes);
    assertThat(limits).isLessThan(MAX_LIMIT_BYTES_PER_SECOND);
  }

  private static long print(String kind, Map<InstanceId, Long> bytes, int nodes) {
    long sum = bytes.values().stream().mapToLong(Long::longValue).sum();
    long worst = bytes.values().stream().mapToLong(Long::longValue).max().orElse(0);
    System.out.printf(
        Locale.ROOT,
        "  %-28s mean=%7d worst=%7d bytes/s a node%n",
        kind,
        sum / nodes / SECONDS,
        worst / SECONDS);
    return worst / SECONDS;
  }
}
