package org.snipewick.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewick.event.EventLog;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.store.EraTracker;
import org.snipewick.time.VirtualTimerService;

class InstanceRegistrationTest {
  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final EraTracker eras = EraTracker.of(timer, EventLog.none());
  private long storeVersion = 100;
  private int writes;

  /** Guards against an instance that its peers no longer find after a restore of the store. */
  @Test
  void shouldWriteRowAgainAndKeepIncarnationWhenStoreIsRestored() {
    eras.observe(1);
    CompletableFuture<Long> incarnation = register();
    final long before = incarnation.join();
    eras.observe(2);
    timer.advance(Duration.ofSeconds(1));
    assertThat(writes).isEqualTo(2);
    assertThat(incarnation.join()).isEqualTo(before);
  }

  @Test
  void shouldGetHigherIncarnationWhenNextProcessRegistersInRestoredStore() {
    eras.observe(1);
    final long before = register().join();
    storeVersion = 90;
    eras.observe(2);
    assertThat(register().join()).isGreaterThan(before);
  }

  private CompletableFuture<Long> register() {
    return InstanceRegistration.start(
        (table, key, value) -> {
          writes++;
          return CompletableFuture.completedFuture(++storeVersion);
        },
        new FleetMember(
            InstanceId.of("i1"), FailureDomain.of("d1"), new InetSocketAddress("127.0.0.1", 1)),
        timer,
        EventLog.none(),
        new SplittableRandom(1),
        eras);
  }
}
