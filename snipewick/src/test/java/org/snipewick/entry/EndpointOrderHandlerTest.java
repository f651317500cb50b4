package org.snipewick.entry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.admin.AdminRequest;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;

/**
 * Guards that malformed orders are refused before any component of the handler is used: all
 * components are {@code null}.
 */
class EndpointOrderHandlerTest {

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "wick   | a b      | {\"order\":\"load\",\"argument\":\"wick\"} | visible ASCII",
        "w k    | engine-1 | {\"order\":\"load\",\"argument\":\"wick\"} | visible ASCII",
        "wick   | engine-1 | {\"order\":\"load\"}                       | argument must name",
        "wick   | engine-1 | {\"order\":\"load\",\"argument\":\" \"}    | argument must name",
        "wick   | engine-1 | {\"order\":\"move\",\"argument\":\"wick\"} | load, unload or role",
        "wick   | engine-1 | {\"argument\":\"wick\"}                    | load, unload or role",
        "wick   | engine-1 | []                                       | argument must name",
        "wick   | engine-1 | no JSON                                  | not JSON"
      })
  void shouldRefuseOrderWhenItIsMalformed(
      String pool, String endpoint, String body, String detail) {
    AdminRequest request =
        new AdminRequest(
            "anna",
            Map.of("pool", pool, "endpoint", endpoint),
            Optional.empty(),
            body.getBytes(UTF_8));

    Throwable thrown =
        catchThrowable(
            () -> new EndpointOrderHandler(null, null, null, null, null).route().handle(request));

    Failure failure = FailureException.unwrap(thrown);
    assertThat(failure.type()).isEqualTo(FailureType.MALFORMED_REQUEST);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(failure.detail()).contains(detail);
  }
}
