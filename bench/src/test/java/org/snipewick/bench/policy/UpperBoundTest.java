package org.snipewick.bench.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UpperBoundTest {
  private static final long SEED = 3;

  @ParameterizedTest
  @CsvSource({"0, load-0.7", "0, burst", "1, load-1.0", "1, burst"})
  void shouldExceedEveryPolicyWhenLoadVaries(int user, String caseName) {
    Workload workload = List.of(Workload.klarfluss(), Workload.lalbandh()).get(user);

    assertThat(new PolicyBench(SEED).rows(workload, benchCase(caseName), ""))
        .isNotEmpty()
        .allSatisfy(row -> assertThat(row.ofBound()).as(row.toString()).isBetween(0.0, 1.0));
  }

  @Test
  void shouldFallBelowOfferedWhenLoadExceedsCapacity() {
    Workload workload = Workload.klarfluss();
    List<Workload.Request> requests = workload.requests(SEED, benchCase("load-2.5"));
    UpperBound bound = new UpperBound(workload, requests);

    assertThat(bound.maxGoodput(request -> true))
        .isEqualTo(bound.maxGoodput(request -> request.work().tier().number() <= 4))
        .isLessThan(requests.stream().filter(Outcomes::isMeasured).count());
  }

  private static BenchCase benchCase(String name) {
    return BenchCase.all().stream()
        .filter(each -> each.name().equals(name))
        .findFirst()
        .orElseThrow();
  }
}
