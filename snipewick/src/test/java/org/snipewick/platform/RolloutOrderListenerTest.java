package org.snipewick.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.identity.PoolName;
import org.snipewick.rollout.RolloutOrder;
import org.snipewick.store.TableRow;

class RolloutOrderListenerTest {
  private static TableRow row(String value) {
    return new TableRow("", "rollout/huvo11a", value.getBytes(UTF_8), 7);
  }

  @Test
  void shouldDecodeOrderWhenExampleIsRead() throws IOException {
    assertThat(
            RolloutOrderListener.decode(
                row("{\"service\":\"huvo11a\",\"to\":\"v2\",\"duration_s\":12}")))
        .isEqualTo(new RolloutOrder(PoolName.of("huvo11a"), "v2", Duration.ofSeconds(12), 7));
  }

  /** Guards against orders that move traffic although they do not say where, or how long. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "[]",
        "{\"service\":\"huvo11a\",\"duration_s\":12}",
        "{\"service\":\"huvo11a\",\"to\":\"\",\"duration_s\":12}",
        "{\"service\":\"huvo11a\",\"to\":2,\"duration_s\":12}",
        "{\"service\":\"huvo11a\",\"to\":\"v2\"}",
        "{\"service\":\"huvo11a\",\"to\":\"v2\",\"duration_s\":0}",
        "{\"service\":\"huvo11a\",\"to\":\"v2\",\"duration_s\":1e300}",
        "{\"service\":\"other\",\"to\":\"v2\",\"duration_s\":12}"
      })
  void shouldRejectOrderWhenItIsMalformed(String value) {
    assertThatThrownBy(() -> RolloutOrderListener.decode(row(value)))
        .isInstanceOfAny(IOException.class, IllegalArgumentException.class);
  }
}
