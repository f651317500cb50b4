package org.snipewick.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;
import org.snipewick.route.CallKind;
import org.snipewick.route.Route;
import org.snipewick.route.RoutingPlan;
import org.snipewick.route.TeamPlan;

/** Decodes an example configuration of the platform, and malformed configurations. */
class PlanCodecTest {
  private static final String EXAMPLE =
      """
      {"version":7,"routes":[
       {"name":"r-26tta82","host":"ficu95.example","prefix":"/lohu930/","kind":"stream",
        "timeout_ms":12000,"target_latency_ms":600,"priority":0,
        "backends":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],
        "max_attempts":1,"public":false,"sticky":true,"resumable":false,"target_gap_ms":400},
       {"name":"r-8m82thh","host":"ficu95.example","prefix":"/pufi791/","kind":"safe",
        "timeout_ms":12000,"target_latency_ms":300,"priority":9,"service":"huvo11a",
        "max_attempts":2,"public":true,"sticky":true,"resumable":true}],
       "services":[{"name":"huvo11a","health_path":"/health","max_conns":300,"protocol":"h1",
        "tls":false,"engine":{"slots":10}},
        {"name":"wuno96b","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
       "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000},
       "tenants":[{"name":"hule930","api_keys":["key-a","key-b"],"priority":1,"unit":"token",
        "plain_tokens":200,"rate_per_s":321704,"burst":1000}],"unknown":{"later":1}}
      """;

  @Test
  void shouldDecodeRoutesWhenExampleIsRead() throws IOException {
    RoutingPlan plan = decode(EXAMPLE);
    Route split = plan.routes().find("ficu95.example", "/lohu930/2f").orElseThrow();
    assertThat(plan.version()).isEqualTo(7);
    assertThat(split.kind()).isEqualTo(CallKind.STREAM);
    assertThat(split.timeout()).isEqualTo(Duration.ofSeconds(12));
    assertThat(split.targetLatency()).isEqualTo(Duration.ofMillis(600));
    assertThat(split.tier()).isEqualTo(Tier.ONE);
    assertThat(split.choosePool(0.95)).contains(PoolName.of("wuno96b"));
    Route single = plan.routes().find("ficu95.example", "/pufi791/").orElseThrow();
    assertThat(single.tier()).isEqualTo(Tier.FOUR);
    assertThat(single.isPublic()).isTrue();
    assertThat(single.maxAttempts()).isEqualTo(2);
  }

  @Test
  void shouldDecodeTeamsAndLimitsWhenExampleIsRead() throws IOException {
    RoutingPlan plan = decode(EXAMPLE);
    TeamPlan team = plan.teamOf("key-b").orElseThrow();
    assertThat(team.name().value()).isEqualTo("hule930");
    assertThat(team.tier()).contains(Tier.TWO);
    assertThat(team.quota().cost(0)).isEqualTo(200);
    assertThat(team.quota().cost(1_540)).isEqualTo(1_540);
    assertThat(plan.limits().maxBodyBytes()).isEqualTo(4_194_304);
    assertThat(plan.limits().idleTimeout()).isEqualTo(Duration.ofSeconds(15));
    assertThat(plan.pool(PoolName.of("wuno96b")).orElseThrow().maxConnections()).isEqualTo(110);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "[]",
        "{}",
        "{\"version\":\"7\"}",
        "{\"version\":1.5,\"limits\":{}}",
        "{\"version\":1,\"routes\":[{\"name\":\"r\"}],\"limits\":{}}",
        "{\"version\":1,\"routes\":[7],\"limits\":{}}"
      })
  void shouldThrowWhenFieldIsMissingOrOfAnotherType(String text) {
    assertThatIllegalArgumentException().isThrownBy(() -> decode(text));
  }

  private static RoutingPlan decode(String text) throws IOException {
    return PlanCodec.decode(text.getBytes(UTF_8));
  }
}
