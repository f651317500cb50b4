package org.snipewick.systemtests.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.snipewick.identity.FailureDomain;
import org.snipewick.standins.platform.PlatformSettings.ListKind;
import org.snipewick.store.InstanceList;
import org.snipewick.store.ListedInstance;
import org.snipewick.store.ListedInstance.Kind;
import org.snipewick.store.ListedInstance.State;

/** Measures what a reader of the list receives at the design size, without HTTP headers. */
final class InstanceListBytesTest {
  private static final int ENTRIES = 340;
  private static final int ENDPOINTS = 11_000;
  private static final int DOMAINS = 16;
  private static final int MODELS = 27;
  private static final int READS = 10;
  private static final FailureDomain OWN = FailureDomain.of("region-1-a");

  private static FailureDomain domain(int index) {
    int ofDomain = index % DOMAINS;
    return FailureDomain.of("region-" + (ofDomain / 4 + 1) + "-" + (char) ('a' + ofDomain % 4));
  }

  private static ListedInstance row(Kind kind, int index, String pool) {
    String id = kind.name().toLowerCase(Locale.ROOT) + "-" + index;
    String host = "10." + index % 200 + "." + index / 200 + ".7";
    return new ListedInstance(id, kind, domain(index), host, 7_100, pool, State.LIVE);
  }

  private static List<ListedInstance> rows(int endpoints) {
    List<ListedInstance> rows = new ArrayList<>();
    for (int index = 0; index < ENTRIES; index++) {
      rows.add(row(Kind.ENTRY, index, ""));
    }
    for (int index = 0; index < endpoints; index++) {
      rows.add(row(Kind.ENGINE, index, "model-" + index % MODELS));
    }
    return rows;
  }

  private static long bytesPerRead(
      PlatformFixture fixture, Supplier<CompletableFuture<List<ListedInstance>>> read) {
    long before = fixture.truth().path("listBytes").asLong();
    for (int count = 0; count < READS; count++) {
      assertThat(read.get().join()).isNotEmpty();
    }
    return (fixture.truth().path("listBytes").asLong() - before) / READS;
  }

  @Test
  void shouldReceiveOnlyChangesOfOwnDomainWhenPlatformServesPartsAndConditions() {
    try (PlatformFixture plain = PlatformFixture.start(ListKind.PLAIN);
        PlatformFixture conditional = PlatformFixture.start(ListKind.CONDITIONAL)) {
      plain.put("/control/instances", rows(ENDPOINTS));
      conditional.put("/control/instances", rows(ENDPOINTS));
      InstanceList list = conditional.platform().instances();
      final long whole = bytesPerRead(plain, plain.platform().instances()::list);
      assertThat(list.endpointsIn(OWN).join()).hasSize((ENDPOINTS + DOMAINS - 1) / DOMAINS);
      final long part = conditional.truth().path("listBytes").asLong();
      final long unchanged = bytesPerRead(conditional, () -> list.endpointsIn(OWN));
      final long beforeEntries = conditional.truth().path("listBytes").asLong();
      assertThat(list.entries().join()).hasSize(ENTRIES);
      final long entries = conditional.truth().path("listBytes").asLong() - beforeEntries;
      conditional.put("/control/instances", rows(ENDPOINTS - DOMAINS));
      assertThat(list.endpointsIn(OWN).join()).hasSize(ENDPOINTS / DOMAINS);
      System.out.printf(
          Locale.ROOT,
          "list of %d rows: whole %d bytes a read; own domain %d bytes after a change, %d a read"
              + " without one; entry instances %d bytes%n",
          ENTRIES + ENDPOINTS,
          whole,
          part,
          unchanged,
          entries);
      assertThat(unchanged).isZero();
      assertThat(part).isLessThan(whole / (DOMAINS - 1));
    }
  }
}
