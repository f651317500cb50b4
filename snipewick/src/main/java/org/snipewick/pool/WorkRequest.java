package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;

/**
 * What a pool's scheduler knows of a request that waits to be dispatched.
 *
 * @param id the request
 * @param team team of the caller
 * @param pool model or service that it is for
 * @param tier class
 * @param promptTokens length of the prompt in tokens; 0 for a plain service
 * @param maxOutputTokens longest answer in tokens that the caller allows; 0 for a plain service
 * @param prefixHashes hashes of the prompt's leading blocks of {@link #PREFIX_BLOCK_TOKENS} tokens,
 *     each covering all blocks before it; empty for a plain service
 * @param waitedMillis how long the request has been with the system, in milliseconds
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

  /** Tokens in a block of a prompt that engines cache as a unit. */
  public static final int PREFIX_BLOCK_TOKENS = 64;

  /** Checks and copies the parts. */
  public WorkRequest {
    requireNonNull(id, "id");
    requireNonNull(team, "team");
    requireNonNull(pool, "pool");
    requireNonNull(tier, "tier");
    prefixHashes = List.copyOf(prefixHashes);
    if (promptTokens < 0 || maxOutputTokens < 0) {
      throw new IllegalArgumentException("token counts must not be negative");
    }
  }
}
