package org.snipewick.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.event.EventType;
import org.snipewick.time.VirtualTimerService;

class EraTrackerTest {
  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final List<EventType> events = new ArrayList<>();
  private final EraTracker eras =
      EraTracker.of(timer, (type, subject, details) -> events.add(type));

  @Test
  void shouldDropResponseWhenItIsOfEarlierEra() {
    assertThat(eras.observe(4)).isTrue();
    assertThat(eras.observe(5)).isTrue();
    assertThat(eras.observe(4)).isFalse();
    assertThat(eras.observe(EraTracker.NO_ERA)).isFalse();
    assertThat(eras.newest()).isEqualTo(5);
    assertThat(events).containsExactly(EventType.STORE_ERA_CHANGED);
  }

  @Test
  void shouldNotifySubscribersOnceWhenEraIsNew() {
    List<Long> notified = new ArrayList<>();
    eras.onNewEra(() -> notified.add(eras.newest()));
    List.of(1L, 1L, 2L, 2L).forEach(eras::observe);
    timer.advance(Duration.ofMillis(1));
    assertThat(notified).containsExactly(2L);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "x", "-1", "1.5", "99999999999999999999", "9223372036854775807"})
  void shouldTreatEraAsUnknownAndLogItOnceWhenHeaderIsInvalid(String header) {
    assertThat(eras.decode(header)).isEqualTo(EraTracker.NO_ERA);
    assertThat(eras.decode(header)).isEqualTo(EraTracker.NO_ERA);
    assertThat(events).containsExactly(EventType.STORE_ERA_INVALID);
  }

  /** Guards against a later process with the incarnation of an earlier one, or a lower one. */
  @Test
  void shouldRaiseIncarnationWhenVersionsGoBack() {
    eras.observe(1);
    long before = eras.incarnation(1_000);
    eras.observe(2);
    assertThat(eras.incarnation(990)).isGreaterThan(before);
  }

  @Test
  void shouldUseVersionAsIncarnationWhenStoreNamesNoEra() {
    eras.observe(EraTracker.NO_ERA);
    assertThat(eras.incarnation(7)).isEqualTo(7);
    assertThat(eras.mayHaveLostRows()).isFalse();
  }
}
