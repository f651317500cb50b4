package org.snipewick.systemtests.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.snipewick.standins.platform.PlatformSettings.ListKind;
import org.snipewick.store.InstanceList;
import org.snipewick.store.InstanceListContract;
import org.snipewick.store.ListedInstance;

/** Shows that the instance list over HTTP keeps the contract, whatever the platform offers. */
final class HttpInstanceListTest {

  private abstract static class Adapter extends InstanceListContract {
    private final PlatformFixture fixture;

    Adapter(ListKind kind) {
      fixture = PlatformFixture.start(kind);
    }

    @AfterEach
    void stop() {
      fixture.close();
    }

    @Override
    protected InstanceList instances() {
      return fixture.platform().instances();
    }

    @Override
    protected void list(List<ListedInstance> instances) {
      fixture.put("/control/instances", instances);
    }

    @Override
    protected void failCalls() {
      fixture.faults("{\"outage\":true}");
    }
  }

  @Nested
  final class WhenPlatformServesPartsAndConditions extends Adapter {
    WhenPlatformServesPartsAndConditions() {
      super(ListKind.CONDITIONAL);
    }
  }

  @Nested
  final class WhenPlatformIgnoresPartsAndConditions extends Adapter {
    WhenPlatformIgnoresPartsAndConditions() {
      super(ListKind.PLAIN);
    }
  }

  @Nested
  final class WhenPlatformRefusesParts extends Adapter {
    WhenPlatformRefusesParts() {
      super(ListKind.STRICT);
    }
  }

  @Test
  void shouldShowOlderStateWhenTheListLags() {
    try (PlatformFixture lagging = PlatformFixture.start(0, 60_000, settings -> settings)) {
      lagging.put("/control/instances", Map.of("id", "entry-1"));

      assertThat(lagging.platform().instances().list().join()).isEmpty();
    }
  }
}
