package org.snipewick.catalogue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.snipewick.catalogue.Catalogues.putModel;

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

/** Measures cost and spread by number of nodes; the bounds are those of the design size. */
class ScaleTest {
  private static final int SECONDS = 10;
  private static final int MAX_BYTES_PER_SECOND = 7_000;
  private static final Duration STEP = Duration.ofMillis(10);

  private static String[] names(int domains, int perDomain) {
    List<String> names = new ArrayList<>();
    for (int domain = 0; domain < domains; domain++) {
      for (int i = 0; i < perDomain; i++) {
        names.add("d" + domain + "." + i);
      }
    }
    return names.toArray(String[]::new);
  }

  private static void putTeams(Catalogues catalogues, int teams) {
    int perChange = 910;
    for (int first = 0; first < teams; first += perChange) {
      List<Edit> edits = new ArrayList<>();
      for (int team = first; team < Math.min(teams, first + perChange); team++) {
        edits.add(Catalogues.putTeam("team" + team, String.format(Locale.ROOT, "%064x", team)));
      }
      CompletableFuture<Acceptance> answer = catalogues.submit("d0.0", edits.toArray(Edit[]::new));
      catalogues.advance(Duration.ofSeconds(2));
      assertThat(answer).isCompleted();
    }
  }

  /** Failure domains, nodes in each, teams. */
  @ParameterizedTest(name = "{0} domains of {1} nodes, {2} teams")
  @CsvSource({"4, 2, 5", "5, 20, 9100", "16, 21, 910"})
  @Timeout(120)
  void shouldStayWithinBoundsWhenNodesAreMany(int domains, int perDomain, int teams) {
    String[] names = names(domains, perDomain);
    Catalogues catalogues = new Catalogues(3).start(names);
    putTeams(catalogues, teams);
    catalogues.cluster.bytes.clear();
    final long listReads = catalogues.cluster.listReads();
    final long tableReads = tableReads(catalogues, names);
    catalogues.advance(Duration.ofSeconds(SECONDS));
    final Map<InstanceId, Long> quiet = catalogues.cluster.bytes.all();
    final long quietTableReads = tableReads(catalogues, names) - tableReads;
    final long quietListReads = catalogues.cluster.listReads() - listReads;
    catalogues.cluster.bytes.clear();
    final long seconds = SECONDS;
    long millis = spreadMillis(catalogues, names);
    long change = catalogues.cluster.bytes.all().values().stream().mapToLong(Long::longValue).sum();
    long worst = quiet.values().stream().mapToLong(Long::longValue).max().orElseThrow();
    long mean = quiet.values().stream().mapToLong(Long::longValue).sum() / names.length;
    System.out.printf(
        Locale.ROOT,
        "scale: nodes=%d teams=%d bytes/s sent+received mean=%d worst=%d table reads/s=%.1f"
            + " list reads/s=%.1f; a change: in force everywhere after %d ms, bytes/node=%d%n",
        names.length,
        teams,
        mean / seconds,
        worst / seconds,
        (double) quietTableReads / seconds,
        (double) quietListReads / seconds,
        millis,
        change / names.length);
    assertThat(worst / seconds).isLessThan(MAX_BYTES_PER_SECOND);
    assertThat(millis).isLessThan(4_000);
    assertThat(quietTableReads / seconds).isLessThan(200);
  }

  private static long tableReads(Catalogues catalogues, String[] names) {
    long reads = 0;
    for (String name : names) {
      reads += catalogues.tableOf(name).reads();
    }
    return reads;
  }

  private static long spreadMillis(Catalogues catalogues, String[] names) {
    CompletableFuture<Acceptance> answer = catalogues.submit("d1.1", putModel("wick"));
    long target = catalogues.version("d1.1") + 1;
    for (long millis = 0; millis < 10_000; millis += STEP.toMillis()) {
      boolean everywhere = true;
      for (String name : names) {
        everywhere &= catalogues.version(name) >= target;
      }
      if (everywhere && answer.isDone()) {
        assertThat(answer.getNow(null).unreachable()).isEmpty();
        return millis;
      }
      catalogues.advance(STEP);
    }
    return Long.MAX_VALUE;
  }
}
