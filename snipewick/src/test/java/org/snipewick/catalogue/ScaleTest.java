package org.snipewick.catalogue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.snipewick.catalogue.CatalogueCluster.putModel;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.identity.InstanceId;

/**
 * Measures traffic, reads and propagation time by number of instances. The bounds apply up to the
 * size that the system is designed for.
 */
class ScaleTest {
  private static final int MEASURED_SECONDS = 10;
  private static final int MAX_BYTES_PER_SECOND = 7_000;
  private static final Duration STEP = Duration.ofMillis(10);

  private static String[] instanceNames(int domains, int perDomain) {
    List<String> names = new ArrayList<>();
    for (int domain = 0; domain < domains; domain++) {
      for (int i = 0; i < perDomain; i++) {
        names.add("d" + domain + "." + i);
      }
    }
    return names.toArray(String[]::new);
  }

  private static void putTeams(CatalogueCluster catalogues, int teams) {
    int teamsPerChange = 910;
    for (int first = 0; first < teams; first += teamsPerChange) {
      List<Edit> edits = new ArrayList<>();
      for (int team = first; team < Math.min(teams, first + teamsPerChange); team++) {
        edits.add(
            CatalogueCluster.putTeam("team" + team, String.format(Locale.ROOT, "%064x", team)));
      }
      CompletableFuture<Acceptance> acceptance =
          catalogues.submit("d0.0", edits.toArray(Edit[]::new));
      catalogues.advance(Duration.ofSeconds(2));
      assertThat(acceptance).isCompleted();
    }
  }

  /** Number of failure domains, of instances in each, and of teams. */
  @ParameterizedTest(name = "{0} domains of {1} instances, {2} teams")
  @CsvSource({"4, 2, 5", "5, 20, 9100", "16, 21, 910"})
  @Timeout(120)
  void shouldStayWithinBoundsWhenInstancesAreMany(int domains, int perDomain, int teams) {
    String[] names = instanceNames(domains, perDomain);
    CatalogueCluster catalogues = new CatalogueCluster(3).start(names);
    putTeams(catalogues, teams);
    catalogues.cluster.bytes.clear();
    final long listReads = catalogues.cluster.listReads();
    final long tableReads = tableReads(catalogues, names);
    catalogues.advance(Duration.ofSeconds(MEASURED_SECONDS));
    final Map<InstanceId, Long> idleBytes = catalogues.cluster.bytes.all();
    final long idleTableReads = tableReads(catalogues, names) - tableReads;
    final long idleListReads = catalogues.cluster.listReads() - listReads;
    catalogues.cluster.bytes.clear();
    final long seconds = MEASURED_SECONDS;
    long propagationMillis = measurePropagationMillis(catalogues, names);
    long changeBytes =
        catalogues.cluster.bytes.all().values().stream().mapToLong(Long::longValue).sum();
    long maxBytes = idleBytes.values().stream().mapToLong(Long::longValue).max().orElseThrow();
    long meanBytes = idleBytes.values().stream().mapToLong(Long::longValue).sum() / names.length;
    System.out.printf(
        Locale.ROOT,
        "scale: nodes=%d teams=%d bytes/s sent+received mean=%d worst=%d table reads/s=%.1f"
            + " list reads/s=%.1f; a change: in force everywhere after %d ms, bytes/node=%d%n",
        names.length,
        teams,
        meanBytes / seconds,
        maxBytes / seconds,
        (double) idleTableReads / seconds,
        (double) idleListReads / seconds,
        propagationMillis,
        changeBytes / names.length);
    assertThat(maxBytes / seconds).isLessThan(MAX_BYTES_PER_SECOND);
    assertThat(propagationMillis).isLessThan(4_000);
    assertThat(idleTableReads / seconds).isLessThan(200);
  }

  private static long tableReads(CatalogueCluster catalogues, String[] names) {
    long reads = 0;
    for (String name : names) {
      reads += catalogues.tableOf(name).reads();
    }
    return reads;
  }

  /** Returns the time until a change is in force on all instances and confirmed by all. */
  private static long measurePropagationMillis(CatalogueCluster catalogues, String[] names) {
    CompletableFuture<Acceptance> acceptance = catalogues.submit("d1.1", putModel("wick"));
    long targetVersion = catalogues.version("d1.1") + 1;
    for (long millis = 0; millis < 10_000; millis += STEP.toMillis()) {
      boolean inForceOnAll = true;
      for (String name : names) {
        inForceOnAll &= catalogues.version(name) >= targetVersion;
      }
      if (inForceOnAll && acceptance.isDone()) {
        assertThat(acceptance.getNow(null).unreachable()).isEmpty();
        return millis;
      }
      catalogues.advance(STEP);
    }
    return Long.MAX_VALUE;
  }
}
