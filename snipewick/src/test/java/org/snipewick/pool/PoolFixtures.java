package org.snipewick.pool;

import java.util.List;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;

/** Factory of requests and endpoint statuses for tests. */
public final class PoolFixtures {
  /** Pool of all requests here. */
  public static final PoolName POOL = PoolName.of("model");

  private PoolFixtures() {}

  /** Returns a request of 100 prompt tokens whose deadline is in a minute. */
  public static WorkRequest work(String entry, long sequence, int tier) {
    return work(entry, sequence, tier, "team", 100, 60_000);
  }

  /** Returns a request of up to 64 output tokens. */
  public static WorkRequest work(
      String entry, long sequence, int tier, String team, int prompt, long remainingMillis) {
    return new WorkRequest(
        RequestId.of(InstanceId.of(entry), 1, sequence),
        TeamName.of(team),
        POOL,
        Tier.of(tier),
        prompt,
        64,
        List.of(),
        0,
        remainingMillis);
  }

  /** Returns a copy of a request with the given prefix hashes. */
  public static WorkRequest withPrefix(WorkRequest work, Long... hashes) {
    return new WorkRequest(
        work.id(),
        work.team(),
        work.pool(),
        work.tier(),
        work.promptTokens(),
        work.maxOutputTokens(),
        List.of(hashes),
        work.waitedMillis(),
        work.remainingMillis());
  }

  /** Returns the status of a live endpoint. */
  public static EndpointStatus endpoint(String name, int slots) {
    return new EndpointStatus(
        EndpointId.of(name),
        "127.0.0.1",
        1,
        EndpointStatus.State.LIVE,
        Tier.FOUR,
        slots,
        64_000,
        -1,
        -1,
        -1,
        0);
  }
}
