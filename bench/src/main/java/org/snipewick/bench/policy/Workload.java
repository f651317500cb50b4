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
 * Workload of one user: failure domains with their engines, and teams with their tiers, timeouts
 * and lengths of prompts and responses.
 *
 * @param name name of the user
 * @param domains failure domains and their engines
 * @param teams teams of callers
 */
record Workload(String name, List<Domain> domains, List<Team> teams) {
  static final PoolName POOL = PoolName.of("model");
  static final int MAX_OUTPUT_TOKENS = 1_500;
  private static final int MIN_TOKENS = 4;
  private static final int MAX_PROMPT_TOKENS = 12_000;
  private static final int CAPACITY_SAMPLE_REQUESTS = 4_000;

  /** Share of the prompt tokens that an engine prefills because they are not cached. */
  private static final double UNCACHED_PROMPT_SHARE = 0.7;

  /**
   * A failure domain.
   *
   * @param slowness time of a step on each engine, relative to the fastest kind of engine
   */
  record Domain(String name, List<Double> slowness) {}

  /**
   * A team of callers.
   *
   * @param requestShare share of the team in all requests
   * @param promptTokens median number of tokens in the part of a prompt that no other request
   *     shares
   * @param outputTokens median length of a response in tokens
   * @param conversations number of conversations whose prefixes requests share, 0 if they share
   *     only the team's preamble
   * @param maxSharedTokens greatest length of the shared prefix of a prompt, in tokens
   */
  record Team(
      String name,
      int tier,
      double requestShare,
      long timeoutMillis,
      double promptTokens,
      double outputTokens,
      int conversations,
      int maxSharedTokens) {}

  /**
   * A request.
   *
   * @param work what the scheduler sees of it
   * @param domainIndex index of the failure domain where it arrives
   * @param atMillis time of arrival from the start of the run
   * @param outputTokens true length of the response
   */
  record Request(WorkRequest work, int domainIndex, long atMillis, int outputTokens) {}

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

  /** Returns the requests per second that all engines can serve together with full batches. */
  double capacityRequestsPerSecond(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    double meanPromptTokens = 0;
    double meanOutputTokens = 0;
    for (int i = 0; i < CAPACITY_SAMPLE_REQUESTS; i++) {
      Request request = draw(random, i, 0);
      meanPromptTokens +=
          request.work().promptTokens() * UNCACHED_PROMPT_SHARE / CAPACITY_SAMPLE_REQUESTS;
      meanOutputTokens += (double) request.outputTokens() / CAPACITY_SAMPLE_REQUESTS;
    }
    double stepMillis =
        EngineFake.BASE_STEP_MILLIS + EngineFake.STEP_MILLIS_PER_REQUEST * EngineFake.SLOTS;
    double millis =
        meanPromptTokens / EngineFake.PREFILL_TOKENS_PER_MILLI
            + meanOutputTokens * stepMillis / EngineFake.SLOTS;
    return domains.stream()
        .flatMap(domain -> domain.slowness().stream())
        .mapToDouble(slowness -> 1_000 / (millis * slowness))
        .sum();
  }

  /**
   * Returns random requests of a run in order of arrival; the same seed gives the same requests.
   */
  List<Request> requests(long seed, BenchCase benchCase) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
    double requestsPerMilli = capacityRequestsPerSecond(seed) / 1_000;
    List<Request> requests = new ArrayList<>();
    double atMillis = 0;
    while (true) {
      double rate = requestsPerMilli * benchCase.loadAt((long) atMillis);
      atMillis -= Math.log(1 - random.nextDouble()) / rate;
      if (atMillis >= BenchCase.END_MILLIS) {
        return requests;
      }
      requests.add(draw(random, requests.size(), (long) atMillis));
    }
  }

  private Request draw(UniformRandomProvider random, int sequence, long atMillis) {
    Team team = pick(random.nextDouble());
    int unsharedTokens = lognormal(random, team.promptTokens(), 0.9, MAX_PROMPT_TOKENS);
    int outputTokens = lognormal(random, team.outputTokens(), 0.85, MAX_OUTPUT_TOKENS);
    int conversation = team.conversations() > 0 ? random.nextInt(team.conversations()) : 0;
    int sharedTokens =
        team.conversations() > 0
            ? (int) (team.maxSharedTokens() * (0.2 + 0.8 * atMillis / BenchCase.END_MILLIS))
            : team.maxSharedTokens();
    int domainIndex = random.nextInt(domains.size());
    WorkRequest work =
        new WorkRequest(
            RequestId.of(InstanceId.of("caller"), 1, sequence),
            TeamName.of(team.name()),
            POOL,
            Tier.of(team.tier()),
            sharedTokens + unsharedTokens,
            MAX_OUTPUT_TOKENS,
            prefix(team, conversation, sharedTokens, sequence, unsharedTokens),
            0,
            team.timeoutMillis());
    return new Request(work, domainIndex, atMillis, outputTokens);
  }

  private static List<Long> prefix(
      Team team, int conversation, int sharedTokens, int sequence, int unsharedTokens) {
    List<Long> hashes = new ArrayList<>();
    int sharedBlocks = sharedTokens / WorkRequest.PREFIX_BLOCK_TOKENS;
    int blocks = (sharedTokens + unsharedTokens) / WorkRequest.PREFIX_BLOCK_TOKENS;
    for (int block = 0; block < blocks; block++) {
      long key = block < sharedBlocks ? -1 - conversation : sequence;
      hashes.add(((team.name().hashCode() * 31L + key) * 1_000_003L + block) * 31L);
    }
    return hashes;
  }

  private Team pick(double uniform) {
    double sum = 0;
    for (Team team : teams) {
      sum += team.requestShare();
      if (uniform < sum) {
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
