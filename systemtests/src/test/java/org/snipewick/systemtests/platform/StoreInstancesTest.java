package org.snipewick.systemtests.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snipewick.event.EventType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.store.InstanceList;
import org.snipewick.store.InstanceListContract;
import org.snipewick.store.ListedInstance;
import org.snipewick.store.ListedInstance.Kind;
import org.snipewick.store.ListedInstance.State;

/**
 * Tests the instance list against its contract, and with a lagging list, a malformed row and a lost
 * history of changes.
 */
final class StoreInstancesTest extends InstanceListContract {
  private static final FailureDomain DOMAIN = FailureDomain.of("north-a");
  private static final ListedInstance ENDPOINT =
      new ListedInstance("engine-1", Kind.ENDPOINT, DOMAIN, "127.0.0.1", 7200, "m", State.LIVE);
  private static final ListedInstance ENTRY =
      new ListedInstance("entry-1", Kind.ENTRY, DOMAIN, "127.0.0.1", 7100, "", State.LIVE);

  private final PlatformFixture fixture = PlatformFixture.start(settings -> settings);

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
    fixture.setFaults("{\"outage\":true}");
  }

  @Test
  void shouldReturnOlderStateWhenListLags() {
    try (PlatformFixture lagging = PlatformFixture.start(0, 60_000, settings -> settings)) {
      lagging.put("/control/instances", List.of(ENTRY, ENDPOINT));

      assertThat(lagging.platform().instances().list().join()).isEmpty();
    }
  }

  @Test
  void shouldSkipRowWhenItIsMalformed() {
    fixture.put("/control/instances", List.of(Map.of("id", "broken"), ENTRY, ENDPOINT));

    assertThat(fixture.platform().instances().list().join())
        .containsExactlyInAnyOrder(ENTRY, ENDPOINT);
    fixture.awaitEvent(EventType.ROW_MALFORMED);
  }

  @Test
  void shouldReadWholeListAgainWhenHistoryIsLost() {
    list(List.of(ENTRY));
    assertThat(instances().list().join()).containsExactly(ENTRY);
    fixture.setFaults("{\"forgetHistory\":true}");
    list(List.of(ENDPOINT));

    assertThat(instances().list().join()).containsExactly(ENDPOINT);
  }
}
