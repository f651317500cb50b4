package org.snipewick.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Compares fixed counts of a new version with those of old ones. */
class VersionComparisonTest {
  private static final String ROUTE = "read";
  private static final int USUAL = Durations.bucketOf(Duration.ofMillis(43).toNanos());
  private static final int SLOW = Durations.bucketOf(Duration.ofMillis(200).toNanos());

  private final Map<String, Evidence> evidence = new HashMap<>();

  private static Tally tally(long answers, long failures, long slow) {
    return new Tally(
        answers, failures, Map.of(USUAL, answers - slow, SLOW, slow), Map.of(), Map.of());
  }

  private void add(String instance, Tally old, Map<String, Tally> fresh) {
    Map<String, Map<String, Tally>> byEndpoint = new HashMap<>();
    fresh.forEach((endpoint, tally) -> byEndpoint.put(endpoint, Map.of(ROUTE, tally)));
    evidence.put(
        instance, new Evidence(1, 100, 10, 0, false, Map.of(), Map.of(ROUTE, old), byEndpoint));
  }

  private Optional<String> fault() {
    return new VersionComparison(evidence, VersionComparison.baselineOf(evidence.values()), true)
        .findFault(VersionComparison.CONVICTION);
  }

  @Test
  void shouldConvictWhenTwoEndpointsFailMoreOftenThanOldOnes() {
    add("a", tally(200, 1, 4), Map.of("x", tally(10, 4, 0)));
    add("b", tally(200, 1, 4), Map.of("y", tally(10, 3, 0)));
    assertThat(fault()).hasValueSatisfying(text -> assertThat(text).contains("failures"));
  }

  @Test
  void shouldConvictWhenResponsesOfTwoEndpointsAreSlow() {
    add("a", tally(200, 0, 2), Map.of("x", tally(10, 0, 5)));
    add("b", tally(200, 0, 2), Map.of("y", tally(10, 0, 5)));
    assertThat(fault()).hasValueSatisfying(text -> assertThat(text).contains("slow"));
  }

  @Test
  void shouldConvictWhenRequestsAreNotAnswered() {
    Tally hanging = new Tally(0, 0, Map.of(), Map.of(), Map.of(SLOW, 6L));
    add("a", tally(200, 0, 2), Map.of("x", hanging, "y", hanging));
    assertThat(fault()).isPresent();
  }

  /** Guards against a version that is blamed for the host of one endpoint. */
  @Test
  void shouldNotConvictWhenOnlyOneEndpointIsBad() {
    add("a", tally(200, 0, 2), Map.of("x", tally(20, 15, 0), "y", tally(20, 0, 0)));
    assertThat(fault()).isEmpty();
  }

  /** Guards against a version that is blamed for the network of one instance. */
  @Test
  void shouldNotConvictWhenOneInstanceFailsOnAllVersions() {
    add("a", tally(40, 20, 0), Map.of("x", tally(10, 6, 0), "y", tally(10, 6, 0)));
    add("b", tally(400, 0, 8), Map.of("x", tally(10, 0, 0), "y", tally(10, 0, 0)));
    assertThat(fault()).isEmpty();
  }

  @Test
  void shouldNotConvictWhenOldVersionIsAsSlow() {
    add("a", tally(200, 0, 60), Map.of("x", tally(20, 0, 8), "y", tally(20, 0, 7)));
    assertThat(fault()).isEmpty();
  }

  /** Guards against a mean over routes that hides the only one that is broken. */
  @Test
  void shouldConvictWhenOnlyOneRouteFails() {
    Tally good = tally(60, 0, 0);
    Tally bad = tally(8, 5, 0);
    evidence.put(
        "a",
        new Evidence(
            1,
            100,
            10,
            0,
            false,
            Map.of(),
            Map.of(ROUTE, tally(200, 0, 2), "search", tally(200, 0, 2)),
            Map.of(
                "x", Map.of(ROUTE, good, "search", bad), "y", Map.of(ROUTE, good, "search", bad))));
    assertThat(fault()).hasValueSatisfying(text -> assertThat(text).contains("search"));
  }
}
