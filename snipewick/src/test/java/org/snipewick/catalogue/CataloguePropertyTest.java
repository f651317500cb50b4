package org.snipewick.catalogue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.snipewick.store.InMemoryTable;

/** Applies random sequences of submissions and faults to three instances in two domains. */
class CataloguePropertyTest {
  private static final List<String> NAMES = List.of("wien.1", "wien.2", "linz.1");

  enum Kind {
    SUBMIT,
    LOSE_RESPONSES,
    LOSE_WRITES,
    OUTAGE,
    END_FAULT,
    STALE_READS,
    FRESH_READS,
    RESTART,
    CUT,
    HEAL
  }

  record Step(Kind kind, String name, int millis) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.of(NAMES),
            Arbitraries.integers().between(1, 3_000))
        .as(Step::new)
        .list()
        .ofMinSize(2)
        .ofMaxSize(14);
  }

  @Property(tries = 40, seed = "43", shrinking = ShrinkingMode.BOUNDED)
  void shouldNeverDecreaseVersionAndConvergeWhenFaultsEnd(@ForAll("steps") List<Step> steps) {
    CatalogueCluster catalogues = new CatalogueCluster(9).start(NAMES.toArray(String[]::new));
    Map<CatalogueController, Long> lastVersions = new HashMap<>();
    Map<Long, Catalogue> byVersion = new HashMap<>();
    for (Step step : steps) {
      apply(catalogues, step);
      for (int part = 0; part < 10; part++) {
        catalogues.advance(Duration.ofMillis(step.millis() / 10 + 1));
        checkVersions(catalogues, lastVersions, byVersion);
      }
    }
    catalogues.table.setFault(InMemoryTable.Fault.NONE);
    catalogues.cluster.heal("wien", "linz");
    NAMES.forEach(name -> catalogues.tableOf(name).setReadsStale(false));
    catalogues.advance(Duration.ofSeconds(20));
    checkVersions(catalogues, lastVersions, byVersion);
    Catalogue first = catalogues.controllerOf(NAMES.get(0)).current();
    for (String name : NAMES) {
      assertThat(catalogues.controllerOf(name).current()).as(name).isEqualTo(first);
    }
    assertThat(catalogues.table.peek(ChangeTable.key(first.version() + 1))).isEmpty();
  }

  private static void checkVersions(
      CatalogueCluster catalogues,
      Map<CatalogueController, Long> lastVersions,
      Map<Long, Catalogue> byVersion) {
    for (String name : NAMES) {
      CatalogueController controller = catalogues.controllerOf(name);
      Catalogue current = controller.current();
      assertThat(current.version())
          .isGreaterThanOrEqualTo(lastVersions.getOrDefault(controller, 0L));
      lastVersions.put(controller, current.version());
      Catalogue other = byVersion.putIfAbsent(current.version(), current);
      assertThat(other == null || other.equals(current))
          .as("same content on all instances for version " + current.version())
          .isTrue();
    }
  }

  private static void apply(CatalogueCluster catalogues, Step step) {
    switch (step.kind()) {
      case SUBMIT -> {
        var ignored =
            catalogues.submit(step.name(), CatalogueCluster.putModel(step.name() + step.millis()));
      }
      case LOSE_RESPONSES -> catalogues.table.setFault(InMemoryTable.Fault.LOST_ANSWER);
      case LOSE_WRITES -> catalogues.table.setFault(InMemoryTable.Fault.LOST_WRITE);
      case OUTAGE -> catalogues.table.setFault(InMemoryTable.Fault.OUTAGE);
      case END_FAULT -> catalogues.table.setFault(InMemoryTable.Fault.NONE);
      case STALE_READS -> catalogues.tableOf(step.name()).setReadsStale(true);
      case FRESH_READS -> catalogues.tableOf(step.name()).setReadsStale(false);
      case RESTART -> {
        catalogues.cluster.crash(step.name());
        catalogues.cluster.start(step.name());
      }
      case CUT -> catalogues.cluster.cut("wien", "linz");
      default -> catalogues.cluster.heal("wien", "linz");
    }
  }
}
