package org.snipewick.bench.policy;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;
import org.snipewick.pool.WorkRequest;

/**
 * Requests of one user: places, engines and teams, each with a tier, an agreed time and lengths.
 *
 * @param name name of the user
 * @param domains failure domains with the slowness of each engine there
 * @param teams teams
 */
record Workload(String name, List<Domain> domains, List<Team> teams) {
  static final PoolName POOL = PoolName.of("model");
  static final int MAX_OUTPUT_TOKENS = 1_500;
  private static final int MIN_TOKENS = 4;
  private static final int MAX_PROMPT_TOKENS = 12_000;
  private static final int SAMPLE = 4_000;
  private static final double FRESH_SHARE = 0.7;

  /** A failure domain and the slowness of its engines. */
  record Domain(String name, List<Double> slowness) {}

  /**
   * A team of callers.
   *
   * @param share share of all requests
   * @param promptTokens median of the own part of a prompt
   * @param outputTokens median length of an answer
   * @param threads number of shared threads, 0 if each prompt has only the team's preamble
   * @param sharedTokens longest shared part of a prompt
   */
  record Team(
      String name,
      int tier,
      double share,
      long agreedMillis,
      double promptTokens,
      double outputTokens,
      int threads,
      int sharedTokens) {}

  /** A request with its true length. */
  record Request(WorkRequest work, int domain, long atMillis, int outputTokens) {}

  static Workload klarfluss() {
    return new Workload(
        "klarfluss",
        List.of(
            new Domain("wien-a", List.of(1.0, 1.0, 1.6, 3.0)),
            new Domain("wien-b", List.of(1.0, 1.6, 3.0)),
            new Domain("linz", List.of(1.0, 1.6, 1.6)),
            new Domain("graz", List.of(1.0, 1.0, 3.0))),
        List.of(
            new Team("dispatch", 1, 0.15, 20_000, 900, 140, 0, 640),
            new Team("drivers", 1, 0.10, 15_000, 300, 60, 0, 320),
            new Team("shops", 2, 0.30, 25_000, 400, 90, 0, 320),
            new Team("households", 3, 0.30, 40_000, 300, 80, 0, 320),
            new Team("analysis", 4, 0.15, 90_000, 1_500, 160, 0, 640)));
  }

  static Workload lalbandh() {
    return new Workload(
        "lalbandh",
        List.of(
            new Domain("kolkata-a", List.of(1.0, 3.0)),
            new Domain("kolkata-b", List.of(1.0, 1.6)),
            new Domain("kolkata-c", List.of(1.6, 1.6))),
        List.of(
            new Team("quotes", 1, 0.25, 45_000, 300, 200, 40, 9_000),
            new Team("dealers", 2, 0.40, 20_000, 120, 50, 60, 2_000),
            new Team("orders", 2, 0.10, 20_000, 200, 20, 0, 320),
            new Team("tagging", 3, 0.15, 60_000, 250, 10, 0, 640),
            new Team("digest", 4, 0.10, 120_000, 1_500, 250, 0, 320)));
  }

  /** Returns the requests a second that all engines can serve together at full batches. */
  double capacity(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    double prompt = 0;
    double output = 0;
    for (int i = 0; i < SAMPLE; i++) {
      Request request = draw(random, i, 0);
      prompt += request.work().promptTokens() * FRESH_SHARE / SAMPLE;
      output += (double) request.outputTokens() / SAMPLE;
    }
    double step = EngineFake.STEP_MILLIS + EngineFake.STEP_MILLIS_PER_REQUEST * EngineFake.SLOTS;
    double millis = prompt / EngineFake.PREFILL_TOKENS_PER_MILLI + output * step / EngineFake.SLOTS;
    return domains.stream()
        .flatMap(domain -> domain.slowness().stream())
        .mapToDouble(slowness -> 1_000 / (millis * slowness))
        .sum();
  }

  /** Draws the requests of a run, in order of their times. */
  List<Request> requests(long seed, BenchCase benchCase) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
    double perMilli = capacity(seed) / 1_000;
    List<Request> requests = new ArrayList<>();
    double at = 0;
    while (true) {
      double rate = perMilli * benchCase.loadAt((long) at);
      at -= Math.log(1 - random.nextDouble()) / rate;
      if (at >= BenchCase.END_MILLIS) {
        return requests;
      }
      requests.add(draw(random, requests.size(), (long) at));
    }
  }

  private Request draw(UniformRandomProvider random, int sequence, long at) {
    Team team = pick(random.nextDouble());
    int own = lognormal(random, team.promptTokens(), 0.9, MAX_PROMPT_TOKENS);
    int output = lognormal(random, team.outputTokens(), 0.85, MAX_OUTPUT_TOKENS);
    int thread = team.threads() > 0 ? random.nextInt(team.threads()) : 0;
    int shared =
        team.threads() > 0
            ? (int) (team.sharedTokens() * (0.2 + 0.8 * at / BenchCase.END_MILLIS))
            : team.sharedTokens();
    int domain = random.nextInt(domains.size());
    WorkRequest work =
        new WorkRequest(
            RequestId.of(InstanceId.of("caller"), 1, sequence),
            TeamName.of(team.name()),
            POOL,
            Tier.of(team.tier()),
            shared + own,
            MAX_OUTPUT_TOKENS,
            prefix(team, thread, shared, sequence, own),
            0,
            team.agreedMillis());
    return new Request(work, domain, at, output);
  }

  private static List<Long> prefix(Team team, int thread, int shared, int sequence, int own) {
    List<Long> hashes = new ArrayList<>();
    int sharedBlocks = shared / WorkRequest.PREFIX_BLOCK_TOKENS;
    int blocks = (shared + own) / WorkRequest.PREFIX_BLOCK_TOKENS;
    for (int block = 0; block < blocks; block++) {
      long key = block < sharedBlocks ? -1 - thread : sequence;
      hashes.add(((team.name().hashCode() * 31L + key) * 1_000_003L + block) * 31L);
    }
    return hashes;
  }

  private Team pick(double draw) {
    double sum = 0;
    for (Team team : teams) {
      sum += team.share();
      if (draw < sum) {
        return team;
      }
    }
    return teams.get(teams.size() - 1);
  }

  private static int lognormal(UniformRandomProvider random, double median, double sigma, int max) {
    double uniform = 1 - random.nextDouble();
    double normal = Math.sqrt(-2 * Math.log(uniform)) * Math.cos(2 * Math.PI * random.nextDouble());
    return (int) Math.max(MIN_TOKENS, Math.min(max, median * Math.exp(sigma * normal)));
  }
}
