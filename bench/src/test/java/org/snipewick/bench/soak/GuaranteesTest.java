package org.snipewick.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import javax.net.ssl.SSLSession;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class GuaranteesTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final String INSTANCE = "wien-a.1";
  private static final Attempt.Request BOOKING =
      new Attempt.Request(Attempt.Kind.BOOKING, "b", false);
  private static final Attempt.Request STREAM =
      new Attempt.Request(Attempt.Kind.PLAIN_QUESTION, "q", true);

  @Test
  void shouldFindNothingWhenGuaranteesHold() {
    assertThat(violations(List.of(), 1, response(BOOKING, 0, 200, "<b>"))).isEmpty();
    assertThat(violations(List.of(), 0, response(BOOKING, 0, 503, outcome("not-run")))).isEmpty();
    assertThat(violations(List.of(), 0, response(STREAM, 0, 200, "<q>\n\ndata: [DONE]\n\n")))
        .isEmpty();
    assertThat(violations(List.of(), 0, response(STREAM, 0, 200, "event: error\ndata: {}")))
        .isEmpty();
  }

  @Test
  void shouldFindDoubleRunWhenEndpointsCountTwo() {
    assertThat(violations(List.of(), 2, response(BOOKING, 0, 200, "<b>")))
        .singleElement()
        .asString()
        .startsWith("ran 2 times");
  }

  @Test
  void shouldFindViolationWhenAllResponsesReportNotRunButItRan() {
    assertThat(violations(List.of(), 1, response(BOOKING, 0, 503, outcome("not-run")))).hasSize(1);
    assertThat(violations(List.of(), 1, response(BOOKING, 0, 502, outcome("unknown")))).isEmpty();
  }

  @Test
  void shouldFindViolationWhenNotRunIsReportedAfterSuccess() {
    assertThat(
            violations(
                List.of(),
                1,
                response(BOOKING, 0, 200, "<b>"),
                response(BOOKING, 2, 503, outcome("not-run"))))
        .singleElement()
        .asString()
        .startsWith("reported as not-run after");
  }

  @ParameterizedTest
  @ValueSource(strings = {"<other>\ndata: [DONE]", "<q>"})
  void shouldFindViolationWhenStreamIsIncompleteOrOfAnotherRequest(String body) {
    assertThat(violations(List.of(), 0, response(STREAM, 0, 200, body))).hasSize(1);
  }

  @Test
  void shouldFindBrokenConnectionWhenInstanceHadNoFaultMeanwhile() {
    Attempt broken = broken(BOOKING, 2);
    InjectedFault earlier = new InjectedFault(new Fault.Kill(INSTANCE, false), 0, SECOND_NANOS);
    InjectedFault meanwhile =
        new InjectedFault(new Fault.Kill(INSTANCE, false), SECOND_NANOS, 3 * SECOND_NANOS);
    InjectedFault elsewhere =
        new InjectedFault(new Fault.Kill("linz.1", false), SECOND_NANOS, 3 * SECOND_NANOS);
    assertThat(violations(List.of(earlier, elsewhere), 0, broken)).hasSize(1);
    assertThat(violations(List.of(meanwhile), 0, broken)).isEmpty();
  }

  @Test
  void shouldFindBrokenConnectionWhenRequestArrivedBeforePlannedStop() {
    InjectedFault stop =
        new InjectedFault(new Fault.PlannedStop(INSTANCE), 3 * SECOND_NANOS, 9 * SECOND_NANOS);
    assertThat(violations(List.of(stop), 0, broken(BOOKING, 2))).hasSize(1);
    assertThat(violations(List.of(stop), 0, broken(BOOKING, 4))).isEmpty();
  }

  @Test
  void shouldFindLateResponseWhenInstanceHadNoFault() {
    Attempt late = lasting(BOOKING, 0, 11, Optional.of(new FakeResponse(503, outcome("not-run"))));
    InjectedFault pause =
        new InjectedFault(new Fault.Pause(INSTANCE), SECOND_NANOS, 9 * SECOND_NANOS);
    assertThat(violations(List.of(), 0, late)).hasSize(1);
    assertThat(violations(List.of(pause), 0, late)).isEmpty();
  }

  private static List<String> violations(
      List<InjectedFault> faults, int runs, Attempt... attempts) {
    return new Guarantees(faults, Map.of("b", runs)).violations(List.of(attempts));
  }

  private static String outcome(String outcome) {
    return "{\"outcome\":\"" + outcome + "\"}";
  }

  private static Attempt response(Attempt.Request request, long second, int status, String body) {
    return lasting(request, second, 1, Optional.of(new FakeResponse(status, body)));
  }

  private static Attempt broken(Attempt.Request request, long second) {
    return lasting(request, second, 2, Optional.empty());
  }

  private static Attempt lasting(
      Attempt.Request request, long second, long seconds, Optional<HttpResponse<String>> response) {
    return new Attempt(
        request,
        INSTANCE,
        second * SECOND_NANOS,
        (second + seconds) * SECOND_NANOS,
        response,
        "reset");
  }

  private record FakeResponse(int statusCode, String body) implements HttpResponse<String> {
    @Override
    public HttpRequest request() {
      return HttpRequest.newBuilder(uri()).build();
    }

    @Override
    public Optional<HttpResponse<String>> previousResponse() {
      return Optional.empty();
    }

    @Override
    public HttpHeaders headers() {
      return HttpHeaders.of(Map.of(), (name, value) -> true);
    }

    @Override
    public Optional<SSLSession> sslSession() {
      return Optional.empty();
    }

    @Override
    public URI uri() {
      return URI.create("http://127.0.0.1/");
    }

    @Override
    public HttpClient.Version version() {
      return HttpClient.Version.HTTP_1_1;
    }
  }
}
