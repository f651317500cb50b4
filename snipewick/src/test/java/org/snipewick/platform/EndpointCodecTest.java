package org.snipewick.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.store.TableRow;

class EndpointCodecTest {
  private static final String EXAMPLE =
      "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":\"wien-a\","
          + "\"version\":\"v1\",\"slots\":10,\"state\":\"ready\",\"cold_left_ms\":0,"
          + "\"stage\":\"unified\",\"models\":[],\"seq\":4,\"born\":1790000000000}";

  @Test
  void shouldDecodeEndpointWhenExampleIsRead() throws IOException {
    RegisteredEndpoint endpoint = decode(EXAMPLE);
    assertThat(endpoint.id().value()).isEqualTo("i-1");
    assertThat(endpoint.pool().value()).isEqualTo("huvo11a");
    assertThat(endpoint.domain().value()).isEqualTo("wien-a");
    assertThat(endpoint.host()).isEqualTo("10.128.0.9");
    assertThat(endpoint.port()).isEqualTo(8080);
    assertThat(endpoint.slots()).isEqualTo(10);
    assertThat(endpoint.startedEpochMillis()).isEqualTo(1_790_000_000_000L);
    assertThat(endpoint.isLeaving()).isFalse();
    assertThat(endpoint.version()).isEqualTo("v1");
    assertThat(decode(EXAMPLE.replace("version", "other")).version()).isEmpty();
    assertThat(decode(EXAMPLE.replace("\"v1\"", "7")).version()).isEmpty();
    assertThat(decode(EXAMPLE.replace("ready", "draining")).isLeaving()).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\"ready\"=\"asleep\"",
        "\"10.128.0.9:8080\"=7",
        "\"10.128.0.9:8080\"=\"10.128.0.9\"",
        "\"slots\":10=\"slots\":\"10\"",
        "\"slots\":10=\"slots\":0",
        "\"service\":\"huvo11a\"=\"other\":1",
        "1790000000000=\"yesterday\"",
        "{=["
      })
  void shouldThrowWhenFieldIsMissingOrInvalid(String change) {
    String[] parts = change.split("=");
    assertThatThrownBy(() -> decode(EXAMPLE.replace(parts[0], parts[1])))
        .isInstanceOfAny(IOException.class, IllegalArgumentException.class);
  }

  private static RegisteredEndpoint decode(String text) throws IOException {
    return EndpointCodec.decode(new TableRow("", "i-1", text.getBytes(UTF_8), 1));
  }
}
