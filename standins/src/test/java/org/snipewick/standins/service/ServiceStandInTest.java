package org.snipewick.standins.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.standins.Client;

/** Tests the responses and the counters of the stand-in service. */
final class ServiceStandInTest {
  private static final String BOOKING = "{\"booking\":\"b\"}";

  private final Client service =
      new Client(ServiceStandIn.of(new ServiceSettings("s1", "orders", 2, 0)));

  @AfterEach
  void stop() {
    service.close();
  }

  private HttpResponse<String> book() {
    return service.call("POST", "/bookings", BOOKING, "Idempotency-Key", "k");
  }

  private int effects() {
    return service.get("/control/truth").at("/effects/b").asInt();
  }

  @Test
  void shouldCountEachEffectWhenRequestIsDuplicated() {
    assertThat(book().statusCode()).isEqualTo(200);
    assertThat(book().statusCode()).isEqualTo(200);

    assertThat(effects()).isEqualTo(2);
    assertThat(service.get("/control/truth").at("/byKey/k").asInt()).isEqualTo(2);
  }

  @Test
  void shouldTakeEffectWhenResponseIsLost() {
    service.call("PUT", "/control/faults", "{\"loseAnswers\":true}");

    assertThatThrownBy(this::book).isInstanceOf(UncheckedIOException.class);

    assertThat(effects()).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"{\"refuse\":true} | true", "{\"outage\":true} | false"})
  void shouldNotRunWhenFaultRejectsCall(String faults, boolean marked) {
    service.call("PUT", "/control/faults", faults);

    HttpResponse<String> response = book();

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.headers().firstValue("X-Not-Run").isPresent()).isEqualTo(marked);
    assertThat(effects()).isZero();
  }

  @Test
  void shouldNameUnknownFaultWhenFaultsAreInvalid() {
    HttpResponse<String> response = service.call("PUT", "/control/faults", "{\"unknown\":1}");

    assertThat(response.statusCode()).isEqualTo(400);
    assertThat(response.body()).contains("unknown");
  }
}
