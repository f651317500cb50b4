package org.snipewick.fleet;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.store.TableRow;

class FleetMemberTest {
  @Test
  void shouldKeepCoresWhenRowIsDecoded() throws IOException {
    FleetMember member =
        new FleetMember(
            InstanceId.of("a"),
            FailureDomain.of("d"),
            new InetSocketAddress("127.0.0.1", 7),
            OptionalDouble.of(0.75));
    assertThat(FleetMember.decode(new TableRow("", "a", member.encode(), 1))).isEqualTo(member);
  }

  /** An instance with a strange number of cores must remain a peer. */
  @ParameterizedTest
  @ValueSource(strings = {"null", "0", "-1", "\"1\"", "[]", "1e999"})
  void shouldIgnoreCoresWhenTheyAreInvalid(String cores) throws IOException {
    String row = "{\"domain\":\"d\",\"host\":\"127.0.0.1\",\"port\":7,\"cores\":" + cores + "}";
    assertThat(FleetMember.decode(new TableRow("", "a", row.getBytes(UTF_8), 1)).cores()).isEmpty();
  }
}
