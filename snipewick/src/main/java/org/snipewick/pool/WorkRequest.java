package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;

/**
 * Description of a request, as sent to a pool's scheduler.
 *
 * @param id id of the request
 * @param team team of the caller
 * @param pool pool that serves its model or service
 * @param tier priority tier
 * @param promptTokens length of the prompt, in tokens; 0 for a plain service
 * @param maxOutputTokens maximum length of the answer, in tokens; 0 for a plain service
 * @param prefixHashes hashes of the prompt's leading blocks of {@link #PREFIX_BLOCK_TOKENS} tokens,
 *     each covering all blocks before it; empty for a plain service
 * @param waitedMillis time since the request arrived in the system, in milliseconds
 * @param remainingMillis time left until the answer must be complete, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record WorkRequest(
    RequestId id,
    TeamName team,
    PoolName pool,
    Tier tier,
    int promptTokens,
    int maxOutputTokens,
    List<Long> prefixHashes,
    long waitedMillis,
    long remainingMillis) {

  /** Size of the blocks of a prompt that engines cache as a unit, in tokens. */
  public static final int PREFIX_BLOCK_TOKENS = 64;

  /**
   * Copies the list.
   *
   * @throws IllegalArgumentException if a token count is negative
   */
  public WorkRequest {
    requireNonNull(id, "id");
    requireNonNull(team, "team");
    requireNonNull(pool, "pool");
    requireNonNull(tier, "tier");
    prefixHashes = List.copyOf(prefixHashes);
    if (promptTokens < 0 || maxOutputTokens < 0) {
      throw new IllegalArgumentException("promptTokens and maxOutputTokens must not be negative");
    }
  }
}
