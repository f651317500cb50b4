package org.snipewick.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.event.EventLog;
import org.snipewick.fleet.FleetMember;
import org.snipewick.registry.EndpointRegistry;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.route.PlanController;
import org.snipewick.store.EraTracker;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;
import org.snipewick.time.VirtualTimerService;

/** Rows that another writer left: each is skipped, and the others remain in force. */
class OddRowsTest {
  private static final String ENDPOINT =
      "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":\"wien-a\",\"slots\":10,"
          + "\"state\":\"ready\",\"seq\":4,\"born\":1790000000000}";
  private static final String PLAN =
      """
      {"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"safe",
        "timeout_ms":12000,"target_latency_ms":300,"service":"huvo11a"}],
       "services":[{"name":"huvo11a","max_conns":300}],
       "limits":{"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
      """;
  private static final int DEEP = 100_000;

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final List<RegisteredEndpoint> listed = new ArrayList<>();
  private final EndpointRowListener endpoints =
      new EndpointRowListener(
          EndpointRegistry.of(timer, EventLog.none(), this::replaceListed), EventLog.none());
  private final PlanController plans =
      PlanController.of(timer, EventLog.none(), Duration.ofSeconds(4));
  private final ConfigurationListener configuration =
      new ConfigurationListener(plans, EventLog.none());

  private void replaceListed(Collection<RegisteredEndpoint> current) {
    listed.clear();
    listed.addAll(current);
  }

  static Stream<String> oddContents() {
    return Stream.of(
        "",
        "null",
        "7",
        "[]",
        "{",
        "\u0000\uffff",
        "[".repeat(DEEP),
        "{\"a\":".repeat(DEEP),
        "{\"state\":" + "[".repeat(DEEP) + "]".repeat(DEEP) + "}",
        "x".repeat(1_000_000));
  }

  static Stream<String> oddEndpoints() {
    return Stream.concat(
        oddContents(),
        Stream.of(
                "8080=0",
                "8080=65536",
                "8080=-1",
                "8080=99999999999999999999",
                "8080=",
                "10.128.0.9=localhost",
                "10.128.0.9=999.1.1.1",
                "10.128.0.9=[",
                "10.128.0.9=",
                "10.128.0.9=fd00::7",
                "10.128.0.9=::1",
                "10.128.0.9=[fd00::7]",
                "10.128.0.9=0.0.0.0",
                "10.128.0.9=0.1.2.3",
                "10.128.0.9=224.0.0.1",
                "10.128.0.9=255.255.255.255",
                "\"slots\":10=\"slots\":0",
                "\"slots\":10=\"slots\":-4",
                "\"slots\":10=\"slots\":4294967297",
                "\"slots\":10=\"slots\":1e400",
                "\"slots\":10=\"slots\":2.5",
                "\"slots\":10=\"slots\":" + "9".repeat(900),
                "\"slots\":10=\"slots\":null",
                "1790000000000=1e30",
                "1790000000000=" + "9".repeat(400),
                "1790000000000=true",
                "ready=asleep",
                "\"ready\"=[\"ready\"]",
                "\"zone\"=\"region\"",
                "huvo11a=",
                "huvo11a=" + "n".repeat(5_000))
            .map(change -> ENDPOINT.replace(change.split("=")[0], afterEquals(change))));
  }

  static Stream<String> oddPlans() {
    return Stream.concat(
        oddContents(),
        Stream.of(
                "12000=1e400",
                "12000=1e30",
                "12000=-1",
                "\"version\":7=\"version\":" + "9".repeat(50),
                "4194304=99999999999",
                "15000=9223372036854775807",
                "\"routes\":[=\"routes\":7,\"other\":[",
                "\"safe\"=\"unknown\"")
            .map(change -> PLAN.replace(change.split("=")[0], afterEquals(change))));
  }

  private static String afterEquals(String change) {
    return change.substring(change.indexOf('=') + 1);
  }

  @ParameterizedTest
  @MethodSource("oddEndpoints")
  void shouldSkipOnlyOddEntryWhenEndpointsAreRead(String odd) {
    endpoints.onRows(List.of(row("a", ENDPOINT), row("odd", odd), row("b", ENDPOINT)), now());
    assertThat(listed).extracting(each -> each.id().value()).containsExactlyInAnyOrder("a", "b");
    endpoints.onChanges(
        new RowChanges.Delta(List.of(row("odd", odd), row("c", ENDPOINT)), List.of("b"), 9), now());
    assertThat(listed).extracting(each -> each.id().value()).containsExactlyInAnyOrder("a", "c");
  }

  @Test
  void shouldSkipOnlyOddEntryWhenItsKeyNamesNoEndpoint() {
    for (String key : List.of("", " ", "a b", "ü", "k".repeat(200), "\u0000")) {
      endpoints.onChanges(
          new RowChanges.Delta(
              List.of(row(key, ENDPOINT), row(key, "{"), row("a", ENDPOINT)), List.of(key), 9),
          now());
      assertThat(listed).extracting(each -> each.id().value()).containsExactly("a");
    }
  }

  @ParameterizedTest
  @MethodSource("oddPlans")
  void shouldKeepPlanInForceWhenConfigurationIsOdd(String odd) {
    configuration.onRows(List.of(row("config", PLAN)), now());
    configuration.onChanges(
        new RowChanges.Delta(List.of(row("config", odd), row("other", odd)), List.of(), 9), now());
    assertThat(plans.current().orElseThrow().version()).isEqualTo(7);
  }

  @ParameterizedTest
  @MethodSource("oddContents")
  void shouldThrowOnlyDecodingFailureWhenRegistrationOfInstanceIsOdd(String odd) {
    assertThatCode(() -> FleetMember.decode(row("linz.1", odd)))
        .isInstanceOfAny(IOException.class, IllegalArgumentException.class);
  }

  @ParameterizedTest
  @MethodSource("oddAddresses")
  void shouldRejectRegistrationWhenItsAddressIsOdd(String hostAndPort) {
    String row = "{\"domain\":\"linz\"," + hostAndPort + "}";
    assertThatCode(() -> FleetMember.decode(row("linz.1", row)))
        .isInstanceOf(IllegalArgumentException.class);
  }

  static Stream<String> oddAddresses() {
    return Stream.of(
        "\"host\":\"10.0.0.1\",\"port\":0",
        "\"host\":\"10.0.0.1\",\"port\":65536",
        "\"host\":\"10.0.0.1\",\"port\":-1",
        "\"host\":\"10.0.0.1\",\"port\":1e99",
        "\"host\":\"10.0.0.1\"",
        "\"host\":\"linz.example\",\"port\":7600",
        "\"port\":7600");
  }

  @Test
  void shouldIgnoreRowsOfOtherPartsWhenChangesAreDecoded() throws IOException {
    String body =
        """
        {"ver":9,"rows":[{"table":"servers","part":"x","key":"a","removed":true},
          {"table":"servers","part":"","key":"b","value":"e30=","ver":9}]}
        """;
    RowChanges changes = StoreFormat.changes(body.getBytes(UTF_8), EraTracker.NO_ERA);
    assertThat(((RowChanges.Delta) changes).removedKeys()).isEmpty();
    assertThat(((RowChanges.Delta) changes).written()).hasSize(1);
  }

  @Property
  void shouldKeepOtherEndpointsWhenBytesOfAnEntryAreChanged(
      @ForAll @Size(max = 8) List<Byte> inserted, @ForAll int position) {
    byte[] original = ENDPOINT.getBytes(UTF_8);
    int start = Math.floorMod(position, original.length);
    byte[] changed = original.clone();
    for (int index = 0; index < inserted.size(); index++) {
      changed[(start + index) % changed.length] = inserted.get(index);
    }
    endpoints.onRows(List.of(row("a", ENDPOINT), new TableRow("", "z", changed, 1)), now());
    assertThat(listed).extracting(each -> each.id().value()).contains("a");
  }

  private Moment now() {
    return Moment.now(timer);
  }

  private static TableRow row(String key, String content) {
    return new TableRow("", key, content.getBytes(UTF_8), 1);
  }
}
