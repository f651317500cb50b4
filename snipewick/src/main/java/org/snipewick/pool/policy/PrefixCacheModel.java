package org.snipewick.pool.policy;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snipewick.pool.WorkRequest;

/**
 * What an endpoint's prefix cache probably holds: the blocks of the prompts granted to it, the
 * least recently used ones dropped first. Cache events only correct this model.
 */
public final class PrefixCacheModel {
  private static final int DEFAULT_CAPACITY_BLOCKS = 1_024;
  private static final int MAX_CAPACITY_BLOCKS = 16_384;

  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private int capacityBlocks = DEFAULT_CAPACITY_BLOCKS;

  /** Creates an empty cache. */
  public PrefixCacheModel() {}

  /**
   * Sets the size of the endpoint's cache.
   *
   * @param tokens size in tokens; 0 if unknown
   */
  public void resize(long tokens) {
    long wanted = tokens <= 0 ? DEFAULT_CAPACITY_BLOCKS : tokens / WorkRequest.PREFIX_BLOCK_TOKENS;
    capacityBlocks = (int) Math.min(MAX_CAPACITY_BLOCKS, wanted);
    evictExcess();
  }

  /**
   * Counts the leading tokens of a prompt that are probably cached.
   *
   * @param prefixHashes hashes of the prompt's leading blocks
   * @return tokens
   */
  public int cachedTokens(List<Long> prefixHashes) {
    int count = 0;
    while (count < prefixHashes.size() && blocks.containsKey(prefixHashes.get(count))) {
      count++;
    }
    return count * WorkRequest.PREFIX_BLOCK_TOKENS;
  }

  /**
   * Notes that blocks are in use.
   *
   * @param prefixHashes hashes of blocks
   */
  public void store(Collection<Long> prefixHashes) {
    prefixHashes.forEach(hash -> blocks.put(hash, Boolean.TRUE));
    evictExcess();
  }

  /**
   * Notes that blocks are gone.
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
