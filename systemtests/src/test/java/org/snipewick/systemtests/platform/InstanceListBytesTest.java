package org.snipewick.systemtests.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.snipewick.identity.FailureDomain;
import org.snipewick.store.InstanceList;
import org.snipewick.store.ListedInstance;
import org.snipewick.store.ListedInstance.Kind;
import org.snipewick.store.ListedInstance.State;

/**
 * Measures how many bytes a reader of the instance list receives at the design size, without HTTP
 * headers.
 */
final class InstanceListBytesTest {
  private static final int ENTRY_INSTANCES = 340;
  private static final int ENDPOINTS = 11_000;
  private static final int DOMAINS = 16;
  private static final int MODELS = 27;
  private static final int READS = 10;
  private static final long MAX_BYTES_WITHOUT_ROWS = 100;
  private static final FailureDomain LOCAL_DOMAIN = FailureDomain.of("region-1-a");

  private static FailureDomain domain(int index) {
    int domainIndex = index % DOMAINS;
    return FailureDomain.of(
        "region-" + (domainIndex / 4 + 1) + "-" + (char) ('a' + domainIndex % 4));
  }

  private static ListedInstance row(Kind kind, int index, String pool) {
    String id = kind.name().toLowerCase(Locale.ROOT) + "-" + index;
    String host = "10." + index % 200 + "." + index / 200 + ".7";
    return new ListedInstance(id, kind, domain(index), host, 7_100, pool, State.LIVE);
  }

  private static List<ListedInstance> rows(int endpoints) {
    List<ListedInstance> rows = new ArrayList<>();
    for (int index = 0; index < ENTRY_INSTANCES; index++) {
      rows.add(row(Kind.ENTRY, index, ""));
    }
    for (int index = 0; index < endpoints; index++) {
      rows.add(row(Kind.ENDPOINT, index, "model-" + index % MODELS));
    }
    return rows;
  }

  private static long bytesPerRead(
      PlatformFixture fixture, Supplier<CompletableFuture<List<ListedInstance>>> read) {
    long bytesBefore = fixture.counts().path("listBytes").asLong();
    for (int count = 0; count < READS; count++) {
      assertThat(read.get().join()).isNotEmpty();
    }
    return (fixture.counts().path("listBytes").asLong() - bytesBefore) / READS;
  }

  @Test
  void shouldReceiveOnlyChangesWhenListIsReadAgain() {
    try (PlatformFixture fixture = PlatformFixture.start(settings -> settings)) {
      fixture.put("/control/instances", rows(ENDPOINTS));
      InstanceList list = fixture.platform().instances();
      assertThat(list.list().join()).hasSize(ENTRY_INSTANCES + ENDPOINTS);
      final long wholeListBytes = fixture.counts().path("listBytes").asLong();
      final long unchangedReadBytes = bytesPerRead(fixture, () -> list.endpointsIn(LOCAL_DOMAIN));
      fixture.put("/control/instances", rows(ENDPOINTS - DOMAINS));
      final long bytesBeforeChange = fixture.counts().path("listBytes").asLong();
      assertThat(list.endpointsIn(LOCAL_DOMAIN).join()).hasSize(ENDPOINTS / DOMAINS);
      final long changeBytes = fixture.counts().path("listBytes").asLong() - bytesBeforeChange;
      assertThat(list.entryInstances().join()).hasSize(ENTRY_INSTANCES);
      System.out.printf(
          Locale.ROOT,
          "list of %d rows: %d bytes; %d per read without change, %d after %d rows were removed%n",
          ENTRY_INSTANCES + ENDPOINTS,
          wholeListBytes,
          unchangedReadBytes,
          changeBytes,
          DOMAINS);
      assertThat(unchangedReadBytes).isLessThan(MAX_BYTES_WITHOUT_ROWS);
      assertThat(changeBytes)
          .isLessThan(wholeListBytes * DOMAINS / ENDPOINTS + MAX_BYTES_WITHOUT_ROWS);
    }
  }
}
