package org.snipewick.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

class PrometheusTextTest {

  @Test
  void shouldLabelTierWhenNameHasOne() {
    MetricRegistry registry = new MetricRegistry();
    registry.counter("requests.received.tier.2").inc(5);
    assertThat(PrometheusText.of(registry).write()).contains("requests_received{tier=\"2\",} 5.0");
  }
}
