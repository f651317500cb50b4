package org.snipewick.store;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.store.ListedInstance.Kind;
import org.snipewick.store.ListedInstance.State;

/** Contract of {@link InstanceList}; the test of each implementation extends this class. */
public abstract class InstanceListContract {
  private static final long TIMEOUT_SECONDS = 20;
  private static final FailureDomain DOMAIN = FailureDomain.of("north-a");
  private static final ListedInstance ENTRY =
      new ListedInstance("entry-1", Kind.ENTRY, DOMAIN, "127.0.0.1", 7100, "", State.LIVE);
  private static final ListedInstance ENGINE =
      new ListedInstance("engine-1", Kind.ENDPOINT, DOMAIN, "127.0.0.1", 7200, "m", State.LEAVING);
  private static final ListedInstance SERVICE =
      new ListedInstance("service-1", Kind.ENDPOINT, DOMAIN, "127.0.0.1", 7300, "s", State.LIVE);

  private static final FailureDomain OTHER_DOMAIN = FailureDomain.of("south-b&c");
  private static final ListedInstance ENGINE_IN_OTHER_DOMAIN =
      new ListedInstance(
          "engine-2", Kind.ENDPOINT, OTHER_DOMAIN, "127.0.0.1", 7400, "m", State.LIVE);

  /** Returns the list under test. */
  protected abstract InstanceList instances();

  /** Makes the platform list exactly these instances. */
  protected abstract void list(List<ListedInstance> instances);

  /** Makes all calls fail. */
  protected abstract void failCalls();

  private static <T> T await(CompletableFuture<T> future) {
    return future.orTimeout(TIMEOUT_SECONDS, SECONDS).join();
  }

  @Test
  void shouldBeEmptyWhenNothingIsListed() {
    list(List.of());

    assertThat(await(instances().list())).isEmpty();
  }

  @Test
  void shouldReturnAllFieldsWhenInstancesAreListed() {
    list(List.of(ENTRY, ENGINE, SERVICE));

    assertThat(await(instances().list())).containsExactlyInAnyOrder(ENTRY, ENGINE, SERVICE);
  }

  @Test
  void shouldFilterByKindAndDomainWhenListIsMixed() {
    list(List.of(ENTRY, ENGINE, SERVICE, ENGINE_IN_OTHER_DOMAIN));

    assertThat(await(instances().entryInstances())).containsExactly(ENTRY);
    assertThat(await(instances().endpointsIn(DOMAIN))).containsExactlyInAnyOrder(ENGINE, SERVICE);
    assertThat(await(instances().endpointsIn(OTHER_DOMAIN)))
        .containsExactly(ENGINE_IN_OTHER_DOMAIN);
  }

  @Test
  void shouldReturnChangesWhenReadRepeatedly() {
    list(List.of(ENTRY, ENGINE));
    for (int read = 0; read < 3; read++) {
      assertThat(await(instances().endpointsIn(DOMAIN))).containsExactly(ENGINE);
      assertThat(await(instances().list())).containsExactlyInAnyOrder(ENTRY, ENGINE);
    }

    list(List.of(ENTRY, SERVICE));

    assertThat(await(instances().endpointsIn(DOMAIN))).containsExactly(SERVICE);
    assertThat(await(instances().list())).containsExactlyInAnyOrder(ENTRY, SERVICE);
    list(List.of());
    assertThat(await(instances().endpointsIn(DOMAIN))).isEmpty();
    assertThat(await(instances().entryInstances())).isEmpty();
  }

  @Test
  void shouldFailAsPlatformUnavailableWhenCallsFail() {
    failCalls();

    Failure failure =
        await(instances().list().handle((value, thrown) -> FailureException.unwrap(thrown)));

    assertThat(failure.type()).isEqualTo(FailureType.PLATFORM_UNAVAILABLE);
  }
}
