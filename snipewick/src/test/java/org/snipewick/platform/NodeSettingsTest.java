package org.snipewick.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.failure.FailureException;
import org.snipewick.rollout.RolloutBounds;

class NodeSettingsTest {
  private static final String EXAMPLE =
      """
      node: "front-wien-a-1"
      zone: "wien-a"
      ip: "10.1.0.25"
      unknown_to_us: [1, 2]
      listen:
        front: "10.1.0.25:8221"
        ready: "10.1.0.25:8224"
      port_range:
        - 7600
        - 7615
      first_start: true
      bounds:
        grace_s: 8
        revoke_ms: 5000
        retry_budget_ratio: 0.2
        budget_window_s: 10
        budget_slack: 56
        quota_window_s: 8
        quota_over: 0.1
        quota_slack: 140000
      provider:
        address: "10.200.1.7:8225"
      """;

  @TempDir private Path directory;

  @Test
  void shouldDecodeSettingsWhenExampleIsRead() throws IOException {
    NodeSettings settings = read(EXAMPLE);
    assertThat(settings.instance().value()).isEqualTo("front-wien-a-1");
    assertThat(settings.domain().value()).isEqualTo("wien-a");
    assertThat(settings.callers()).isEqualTo(new InetSocketAddress("10.1.0.25", 8221));
    assertThat(settings.peers()).isEqualTo(new InetSocketAddress("10.1.0.25", 7600));
    assertThat(settings.store()).isEqualTo(new InetSocketAddress("10.200.1.7", 8225));
    assertThat(settings.keyRevocation()).isEqualTo(Duration.ofSeconds(5));
    assertThat(settings.stopGrace()).isEqualTo(Duration.ofSeconds(8));
    assertThat(settings.retriesPerRequest()).isEqualTo(0.2);
    assertThat(settings.quotas().window()).isEqualTo(Duration.ofSeconds(8));
    assertThat(settings.isFirstStart()).isTrue();
  }

  @ParameterizedTest
  @ValueSource(strings = {"node", "zone", "ready", "revoke_ms", "quota_over", "address"})
  void shouldNameFieldWhenItIsMissing(String field) {
    assertThatThrownBy(() -> read(EXAMPLE.replace(field + ":", "other_" + field + ":")))
        .isInstanceOf(FailureException.class)
        .hasMessageContaining(field);
  }

  @Test
  void shouldMultiplyShareAndCoresWhenLimitsAreGiven() throws IOException {
    String limits = "limits: {cpu_share: 0.75, cores: 2, memory_mb: 430}\n";
    assertThat(read(EXAMPLE + limits).cores()).hasValue(1.5);
    assertThat(read(EXAMPLE).cores()).isEmpty();
    assertThat(read(EXAMPLE + "limits: {cores: 2}\n").cores()).isEmpty();
  }

  /** Guards against rollouts where the platform does not ask for them. */
  @Test
  void shouldReadBoundsOfRolloutsOnlyWhenContractIsListed() throws IOException {
    String bounds = "bounds:\n  expose_share: 0.1\n  expose_slack: 50\n  rollback_ms: 5000";
    String listed = EXAMPLE.replace("bounds:", bounds) + "contracts: [quota, rollout]\n";
    assertThat(read(listed).rollouts()).contains(new RolloutBounds(0.1, 50, Duration.ofSeconds(5)));
    assertThat(read(listed.replace("rollout]", "other]")).rollouts()).isEmpty();
    assertThat(read(EXAMPLE).rollouts()).isEmpty();
    assertThatThrownBy(() -> read(listed.replace("expose_share", "other")))
        .isInstanceOf(FailureException.class)
        .hasMessageContaining("expose_share");
  }

  private NodeSettings read(String text) throws IOException {
    return NodeSettings.read(Files.writeString(directory.resolve("node.yaml"), text));
  }
}
