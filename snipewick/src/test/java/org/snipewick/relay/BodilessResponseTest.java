package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.route.CallKind;
import org.snipewick.route.Plans;

/**
 * Guards against the wait for a body that a response does not have, although it states a length.
 */
class BodilessResponseTest {
  private final RelayFixture relay =
      new RelayFixture(Plans.plan(1, Plans.route("unsafe", "/unsafe/", CallKind.UNSAFE, 1, false)));

  @AfterEach
  void close() {
    relay.close();
  }

  @ParameterizedTest
  @CsvSource({"HEAD, 200", "HEAD, 404", "GET, 304"})
  void shouldDeliverHeadWhenItsLengthIsThatOfAnotherResponse(String method, int status)
      throws IOException {
    relay.setEndpoints(
        "unsafe",
        ScriptedEndpoint.start(
            ScriptedEndpoint.closing(
                "HTTP/1.1 " + status + " Reason\r\nSignature: s\r\nContent-Length: 14\r\n\r\n")));

    assertThat(
            relay.exchange(
                method
                    + " /unsafe/ HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\n"
                    + "Call-Id: c-1\r\n\r\n"))
        .startsWith("HTTP/1.1 " + status);
  }
}
