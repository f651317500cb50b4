package org.snipewick.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snipewick.event.EventLog;
import org.snipewick.time.Moment;
import org.snipewick.time.VirtualTimerService;

class PlanControllerTest {
  private static final Duration MAX_PROOF_AGE = Duration.ofMillis(4_700);

  private final VirtualTimerService timer = VirtualTimerService.of(1_000_000);
  private final PlanController plans = PlanController.of(timer, EventLog.none(), MAX_PROOF_AGE);

  @Test
  void shouldKeepNewestVersionWhenOlderOneArrivesLater() {
    List<Long> seen = new ArrayList<>();
    plans.subscribe(plan -> seen.add(plan.version()));
    plans.accept(Plans.plan(7), now());
    plans.accept(Plans.plan(3), now());
    plans.accept(Plans.plan(9), now());
    assertThat(plans.current().orElseThrow().version()).isEqualTo(9);
    assertThat(seen).containsExactly(7L, 9L);
  }

  @Test
  void shouldNotBeProvenWhenProofIsTooOld() {
    assertThat(plans.hasFreshProof()).isFalse();
    plans.accept(Plans.plan(1), now());
    timer.advance(MAX_PROOF_AGE.minusMillis(1));
    assertThat(plans.hasFreshProof()).isTrue();
    timer.advance(Duration.ofMillis(1));
    assertThat(plans.hasFreshProof()).isFalse();
  }

  @Test
  void shouldCountProofAgeFromSendingWhenAnswerIsSlow() {
    Moment sentAt = now();
    timer.advance(Duration.ofSeconds(4));
    plans.accept(Plans.plan(1), sentAt);
    timer.advance(Duration.ofMillis(800));
    assertThat(plans.hasFreshProof()).isFalse();
  }

  @Test
  void shouldKeepLatestProofWhenOlderOneArrives() {
    Moment earlier = now();
    timer.advance(Duration.ofSeconds(3));
    plans.accept(Plans.plan(1), now());
    plans.confirm(1, earlier);
    timer.advance(Duration.ofSeconds(3));
    assertThat(plans.hasFreshProof()).isTrue();
  }

  @Test
  void shouldIgnoreProofWhenItIsOfAnotherVersion() {
    plans.accept(Plans.plan(1), now());
    timer.advance(Duration.ofSeconds(6));
    plans.confirm(2, now());
    assertThat(plans.hasFreshProof()).isFalse();
    plans.confirm(1, now());
    assertThat(plans.hasFreshProof()).isTrue();
  }

  private Moment now() {
    return Moment.now(timer);
  }
}
