package org.snipewick.pool.policy;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snipewick.pool.WorkRequest;

/**
 * Model of the content of an endpoint's prefix cache: the blocks of the prompts granted to it,
 * evicted in least-recently-used order. Cache events from the endpoint only correct this model.
 */
public final class PrefixCacheModel {
  /** Capacity that is assumed while the size of the cache is unknown. */
  private static final int DEFAULT_CAPACITY_BLOCKS = 1_024;

  private static final int MAX_CAPACITY_BLOCKS = 16_384;

  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private int capacityBlocks = DEFAULT_CAPACITY_BLOCKS;

  /** Creates an empty cache of 1,024 blocks. */
  public PrefixCacheModel() {}

  /**
   * Sets the size of the endpoint's cache, and evicts blocks that exceed it. Sizes above 16,384
   * blocks are capped.
   *
   * @param tokens size in tokens; 0 or less if unknown, for 1,024 blocks
   */
  public void resize(long tokens) {
    long sizeBlocks =
        tokens <= 0 ? DEFAULT_CAPACITY_BLOCKS : tokens / WorkRequest.PREFIX_BLOCK_TOKENS;
    capacityBlocks = (int) Math.min(MAX_CAPACITY_BLOCKS, sizeBlocks);
    evictExcess();
  }

  /**
   * Returns the number of leading tokens of a prompt that the model holds as cached.
   *
   * @param prefixHashes hashes of the prompt's leading blocks
   * @return number of tokens
   */
  public int cachedTokens(List<Long> prefixHashes) {
    int count = 0;
    while (count < prefixHashes.size() && blocks.containsKey(prefixHashes.get(count))) {
      count++;
    }
    return count * WorkRequest.PREFIX_BLOCK_TOKENS;
  }

  /**
   * Records that blocks were used, which are stored if they are absent.
   *
   * @param prefixHashes hashes of blocks
   */
  public void store(Collection<Long> prefixHashes) {
    prefixHashes.forEach(hash -> blocks.put(hash, Boolean.TRUE));
    evictExcess();
  }

  /**
   * Removes blocks that the endpoint evicted.
   *
   * @param prefixHashes hashes of blocks
   */
  public void evict(Collection<Long> prefixHashes) {
    prefixHashes.forEach(blocks::remove);
  }

  private void evictExcess() {
    var oldest = blocks.keySet().iterator();
    while (blocks.size() > capacityBlocks && oldest.hasNext()) {
      oldest.next();
      oldest.remove();
    }
  }
}
