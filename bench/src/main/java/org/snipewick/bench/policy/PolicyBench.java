package org.snipewick.bench.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import org.snipewick.identity.Tier;
import org.snipewick.pool.PoolPolicy;
import org.snipewick.pool.SchedulerSettings;
import org.snipewick.pool.policy.Admission;

/** Runs all policies on all cases and prints a row for each tier and one for all tiers. */
public final class PolicyBench {
  private static final String IDEAL = "ideal";
  private static final String HEADER =
      "user       case          policy             tier offered goodput of ideal of bound"
          + "  wasted   ttft50   ttft99  tbt50  tbt99";

  private final long seed;
  private final Map<String, Function<Simulation, Dispatcher>> policies = new LinkedHashMap<>();

  /**
   * A row of the result.
   *
   * @param user name of the workload
   * @param benchCase name of the case
   * @param policy name of the policy
   * @param tier number of the tier, 0 for all together
   * @param offered requests that arrived
   * @param goodput requests that were answered completely and in time
   * @param ofIdeal goodput as a share of that of the ideal scheduler; 1 if that is 0
   * @param ofBound goodput as a share of what no policy can exceed; 1 if that is 0
   * @param wastedPrefill share of the prefilled prompt tokens that led to no response in time
   * @param firstTokenMillis50 median time from arrival to first token, in milliseconds
   * @param firstTokenMillis99 the same, 99th percentile
   * @param betweenTokensMillis50 median of the mean time between the tokens of a response, in
   *     milliseconds
   * @param betweenTokensMillis99 the same, 99th percentile
   */
  public record Row(
      String user,
      String benchCase,
      String policy,
      int tier,
      long offered,
      long goodput,
      double ofIdeal,
      double ofBound,
      double wastedPrefill,
      double firstTokenMillis50,
      double firstTokenMillis99,
      double betweenTokensMillis50,
      double betweenTokensMillis99) {}

  /**
   * Creates a bench.
   *
   * @param seed seed of arrivals and of random choices
   */
  public PolicyBench(long seed) {
    this.seed = seed;
    SchedulerSettings settings = SchedulerSettings.defaults();
    PoolPolicy standard = PoolPolicy.standard();
    policies.put(IDEAL, IdealDispatcher::new);
    addProduct("snipewick", standard, settings);
    addProduct("without-affinity", standard.withPrefixAwareness(false), settings);
    addProduct(
        "without-deadlines", standard.withAdmission(new Admission.UntilDeadline()), settings);
    addProduct("without-lengths", standard.withLearnedLengths(false), settings);
    for (BaselineDispatcher.Choice choice : BaselineDispatcher.Choice.values()) {
      policies.put(
          choice.name().toLowerCase(Locale.ROOT).replace('_', '-'),
          simulation -> new BaselineDispatcher(simulation, choice, seed));
    }
  }

  /**
   * Runs the selected cases and prints their rows.
   *
   * @param caseName case to run, empty for all
   * @param policyName policy to run beside the ideal, empty for all
   * @param json whether rows are printed as JSON, one a line
   * @param out receives the rows
   */
  public void run(String caseName, String policyName, boolean json, PrintStream out) {
    if (!json) {
      out.printf("seed %d%n", seed);
      out.println(HEADER);
    }
    for (Workload workload : List.of(Workload.klarfluss(), Workload.lalbandh())) {
      BenchCase.all().stream()
          .filter(each -> caseName.isEmpty() || each.name().equals(caseName))
          .flatMap(each -> rows(workload, each, policyName).stream())
          .forEach(row -> print(row, json, out));
    }
  }

  private void addProduct(String name, PoolPolicy policy, SchedulerSettings settings) {
    policies.put(name, simulation -> new ProductDispatcher(simulation, policy, settings));
  }

  /**
   * Runs one case with the named policy and the ideal, or with all policies if the name is empty.
   */
  List<Row> rows(Workload workload, BenchCase benchCase, String policyName) {
    List<Workload.Request> requests = workload.requests(seed, benchCase);
    List<Row> rows = new ArrayList<>();
    UpperBound bound = new UpperBound(workload, requests);
    Outcomes ideal = null;
    for (Map.Entry<String, Function<Simulation, Dispatcher>> policy : policies.entrySet()) {
      String name = policy.getKey();
      if (!policyName.isEmpty() && !name.equals(policyName) && !name.equals(IDEAL)) {
        continue;
      }
      Outcomes outcomes = new Simulation(workload, benchCase).run(requests, policy.getValue());
      ideal = ideal == null ? outcomes : ideal;
      for (Tier tier : Tier.values()) {
        long maxGoodput = bound.maxGoodput(request -> request.work().tier() == tier);
        rows.add(
            row(
                workload,
                benchCase,
                name,
                tier.number(),
                outcomes.of(tier),
                ideal.of(tier),
                maxGoodput));
      }
      long maxGoodput = bound.maxGoodput(request -> true);
      rows.add(row(workload, benchCase, name, 0, outcomes.total(), ideal.total(), maxGoodput));
    }
    return rows;
  }

  private static Row row(
      Workload workload,
      BenchCase benchCase,
      String policy,
      int tier,
      Outcomes.Counts counts,
      Outcomes.Counts ideal,
      long maxGoodput) {
    return new Row(
        workload.name(),
        benchCase.name(),
        policy,
        tier,
        counts.offered,
        counts.answeredInTime,
        share((double) counts.answeredInTime, (double) ideal.answeredInTime),
        share((double) counts.answeredInTime, (double) maxGoodput),
        counts.prefilledTokens > 0 ? counts.wastedPrefillTokens / counts.prefilledTokens : 0,
        counts.firstTokenMicros.getValueAtPercentile(50) / 1e3,
        counts.firstTokenMicros.getValueAtPercentile(99) / 1e3,
        counts.betweenTokensMicros.getValueAtPercentile(50) / 1e3,
        counts.betweenTokensMicros.getValueAtPercentile(99) / 1e3);
  }

  private static double share(double part, double whole) {
    return whole > 0 ? part / whole : 1;
  }

  private static void print(Row row, boolean json, PrintStream out) {
    if (json) {
      out.println((JsonNode) new ObjectMapper().valueToTree(row));
      return;
    }
    out.printf(
        Locale.ROOT,
        "%-10s %-13s %-18s %4s %7d %7d %8.3f %8.3f %7.4f %8.0f %8.0f %6.1f %6.1f%n",
        row.user(),
        row.benchCase(),
        row.policy(),
        row.tier() == 0 ? "all" : String.valueOf(row.tier()),
        row.offered(),
        row.goodput(),
        row.ofIdeal(),
        row.ofBound(),
        row.wastedPrefill(),
        row.firstTokenMillis50(),
        row.firstTokenMillis99(),
        row.betweenTokensMillis50(),
        row.betweenTokensMillis99());
  }
}
