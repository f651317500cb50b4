package org.snipewick.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.catalogue.Catalogue;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.catalogue.Entry;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.identity.Tier;
import org.snipewick.time.VirtualTimerService;

class RequestComponentsTest {

  @ParameterizedTest(name = "requested {0}, team {1}, entry {2}")
  @CsvSource({"'',2,3,3", "'',2,1,2", "'',1,1,1", "2,2,4,2", "4,1,1,4", "3,2,1,3"})
  void shouldReturnRequestedOrLimitedDefaultTierWhenParsed(
      String requested, int team, int entry, int expected) {
    CallerRequest request =
        request(requested.isEmpty() ? Map.of() : Map.of("snipewick-class", requested));

    assertThat(CallerHeaders.tier(request, Tier.of(team), Tier.of(entry)))
        .isEqualTo(Tier.of(expected));
  }

  @ParameterizedTest(name = "requested {0}, default {1}")
  @CsvSource({"'',5000,5000", "250,5000,250", "600000,5,600000", "'',900000,600000"})
  void shouldReturnRequestedOrLimitedDefaultTimeoutWhenParsed(
      String requested, long defaultMillis, long expected) {
    CallerRequest request =
        request(requested.isEmpty() ? Map.of() : Map.of("snipewick-timeout-ms", requested));

    assertThat(CallerHeaders.timeout(request, defaultMillis))
        .isEqualTo(Duration.ofMillis(expected));
  }

  @Test
  void shouldShareHashesOfLeadingBlocksWhenPromptsBeginAlike() {
    String common = "a".repeat(256 * 3);
    Prompt first = prompt(common + "b".repeat(512));
    Prompt second = prompt(common + "c".repeat(512));

    assertThat(first.prefixHashes()).hasSize(5);
    assertThat(first.prefixHashes().subList(0, 3)).isEqualTo(second.prefixHashes().subList(0, 3));
    assertThat(first.prefixHashes().get(4)).isNotEqualTo(second.prefixHashes().get(4));
    assertThat(first.promptTokens()).isBetween(300, 350);
  }

  @Test
  void shouldFindOnlyNewTokenWhenCatalogueChanges() {
    AtomicReference<Catalogue> current = new AtomicReference<>(catalogue(1, "old"));
    TeamIndex index =
        TeamIndex.of(
            new CatalogueSource() {
              @Override
              public Catalogue current() {
                return current.get();
              }

              @Override
              public void subscribe(Consumer<Catalogue> listener) {}
            });
    assertThat(index.find("old")).isPresent();

    current.set(catalogue(2, "new"));

    assertThat(index.find("old")).isEmpty();
    assertThat(index.find("new")).isPresent();
  }

  @Test
  void shouldAllowOneRetryPerTenRequestsWhenBudgetIsSpent() {
    RetryBudget budget = RetryBudget.create();
    int spent = 0;
    while (budget.trySpend()) {
      spent++;
    }
    assertThat(spent).isEqualTo(100);
    for (int request = 0; request < 10; request++) {
      assertThat(budget.trySpend()).isFalse();
      budget.recordRequest();
    }
    assertThat(budget.trySpend()).isTrue();
  }

  @Test
  void shouldNeverDispatchWhenAbandonedBefore() {
    CallLifecycle lifecycle = CallLifecycle.create();
    lifecycle.abandon(Failure.notRun(FailureType.DEADLINE_EXCEEDED, "late"));

    assertThat(lifecycle.beginDispatch()).isFalse();
    assertThat(lifecycle.isDispatched()).isFalse();
  }

  @Test
  void shouldNotDispatchAgainWhenAbandonedDuringRevertedDispatch() {
    CallLifecycle lifecycle = CallLifecycle.create();
    assertThat(lifecycle.beginDispatch()).isTrue();
    lifecycle.abandon(Failure.notRun(FailureType.DEADLINE_EXCEEDED, "late"));
    assertThat(lifecycle.isDispatched()).isTrue();

    lifecycle.revertDispatch();

    assertThat(lifecycle.beginDispatch()).isFalse();
    assertThat(
            lifecycle.withOutcomeOfDispatch(Failure.unknown(FailureType.INTERNAL, "x")).outcome())
        .isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void shouldKeepOrderAndApplyBackPressureWhenReaderIsSlow() {
    AnswerStream stream = AnswerStream.withTranscript(10_000);
    int added = 0;
    while (stream.add("e" + added).isDone()) {
      added++;
    }
    assertThat(added).isEqualTo(1023);
    assertThat(stream.next().join()).hasValue("e0");
    stream.endWith("last", Ending.complete(1));

    String text = "";
    for (var event = stream.next().join(); event.isPresent(); event = stream.next().join()) {
      text = event.get();
    }
    assertThat(text).isEqualTo("last");
    assertThat(stream.readerDone().join()).isTrue();
    assertThat(stream.transcript()).get().asString().startsWith("e0e1e2").endsWith("last");
  }

  @Test
  void shouldDropEventsAndUnblockWriterWhenReadingIsCancelled() {
    AnswerStream stream = AnswerStream.empty();
    var blocked = stream.add("first");
    while (blocked.isDone()) {
      blocked = stream.add("more");
    }

    stream.cancelReading();

    assertThat(blocked).isCompleted();
    assertThat(stream.add("late")).isCompleted();
    assertThat(stream.readerDone().join()).isFalse();
  }

  @Test
  void shouldDrainOnlyAfterBalancerDelayAndLastCallWhenStopped() {
    VirtualTimerService timer = VirtualTimerService.of(0);
    InFlight inFlight = InFlight.of(timer);
    assertThat(inFlight.tryEnter()).isTrue();

    final var drained = inFlight.stop(Duration.ofSeconds(3));
    assertThat(inFlight.isHealthy()).isFalse();
    timer.advance(Duration.ofMillis(2999));
    assertThat(inFlight.tryEnter()).isTrue();
    inFlight.exit();
    timer.advance(Duration.ofMillis(1));

    assertThat(inFlight.tryEnter()).isFalse();
    assertThat(drained).isNotDone();
    inFlight.exit();
    assertThat(drained).isCompleted();
  }

  private static CallerRequest request(Map<String, String> headers) {
    return new CallerRequest("POST", "/", headers, new byte[0]);
  }

  private static Prompt prompt(String content) {
    String body =
        "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"" + content + "\"}]}";
    return Prompt.parse(body.getBytes(StandardCharsets.UTF_8));
  }

  private static Catalogue catalogue(long version, String token) {
    return Catalogue.ofAll(
        version,
        List.of(
            new Entry.Team("team", "ops", Tier.ONE, TeamIndex.sha256(token), 1000, 1000, 1000)));
  }
}
