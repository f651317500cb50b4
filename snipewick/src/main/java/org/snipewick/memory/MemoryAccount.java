package org.snipewick.memory;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * Account of the bytes that are kept for callers and endpoints. Answers a load of bodies and events
 * without end: if the limit would be exceeded, the holder with most bytes loses its bytes, not the
 * next one that asks. Used on one thread only.
 */
public final class MemoryAccount {
  private final long limitBytes;
  private final Executor evictions;
  private final Set<Holder> holders = new LinkedHashSet<>();
  private long heldBytes;

  private MemoryAccount(long limitBytes, Executor evictions) {
    this.limitBytes = limitBytes;
    this.evictions = evictions;
  }

  /**
   * Creates an account without holders.
   *
   * @param limitBytes maximum number of bytes that all holders keep together
   * @param evictions runs the listeners of holders that lose their bytes
   * @return account
   * @throws IllegalArgumentException if the limit is not positive
   */
  public static MemoryAccount of(long limitBytes, Executor evictions) {
    if (limitBytes <= 0) {
      throw new IllegalArgumentException("limit must be positive: " + limitBytes);
    }
    return new MemoryAccount(limitBytes, requireNonNull(evictions, "evictions"));
  }

  /**
   * Opens a holder without bytes.
   *
   * @param onEvicted listener that discards the bytes of the holder when it loses them
   * @return holder, to be closed when its bytes are no longer kept
   */
  public Holder open(Runnable onEvicted) {
    return new Holder(requireNonNull(onEvicted, "onEvicted"));
  }

  /**
   * Returns the number of bytes that are kept.
   *
   * @return bytes of all holders
   */
  public long heldBytes() {
    return heldBytes;
  }

  /**
   * Returns the maximum number of bytes that all holders keep together.
   *
   * @return limit in bytes
   */
  public long limitBytes() {
    return limitBytes;
  }

  private boolean makeRoom(Holder asking, long bytes) {
    while (heldBytes + bytes > limitBytes) {
      Optional<Holder> largest =
          holders.stream()
              .filter(holder -> !holder.isPinned)
              .max(Comparator.comparingLong(Holder::bytes));
      if (largest.isEmpty() || largest.get().bytes <= asking.bytes + bytes) {
        return false;
      }
      largest.get().evict();
      evictions.execute(largest.get().onEvicted);
    }
    return true;
  }

  /** Bytes that are kept for one purpose, such as the body of one response. */
  public final class Holder {
    private final Runnable onEvicted;
    private long bytes;
    private boolean isEvicted;
    private boolean isClosed;
    private boolean isPinned;

    private Holder(Runnable onEvicted) {
      this.onEvicted = onEvicted;
    }

    /**
     * Asks whether further bytes may be kept. If not, the bytes of the holder must be discarded.
     *
     * @param additionalBytes number of bytes
     * @return whether they may be kept; false if this holder would have most bytes of all above the
     *     limit, or has lost its bytes before
     */
    public boolean tryAdd(long additionalBytes) {
      if (isClosed || isEvicted || !makeRoom(this, additionalBytes)) {
        return false;
      }
      bytes += additionalBytes;
      heldBytes += additionalBytes;
      holders.add(this);
      return true;
    }

    /** Records that the bytes are in use, so that the holder does not lose them any more. */
    public void pin() {
      isPinned = true;
    }

    /** Records that the bytes so far are no longer kept, but that further ones may follow. */
    public void clear() {
      release();
      isEvicted = false;
    }

    /** Records that the bytes are no longer kept, and that none will follow. */
    public void close() {
      release();
      isClosed = true;
    }

    /**
     * Returns whether the holder lost its bytes to another one and has not discarded them.
     *
     * @return whether {@link #clear} or {@link #close} is to be called
     */
    public boolean isEvicted() {
      return isEvicted && !isClosed;
    }

    private void evict() {
      release();
      isEvicted = true;
    }

    private void release() {
      heldBytes -= bytes;
      bytes = 0;
      holders.remove(this);
    }

    /**
     * Returns the number of bytes that this holder keeps.
     *
     * @return bytes
     */
    public long bytes() {
      return bytes;
    }
  }
}
