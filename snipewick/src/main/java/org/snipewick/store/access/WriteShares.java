package org.snipewick.store.access;

/**
 * Shares of one instance in the rate of writes that all instances together may send.
 *
 * @param direct calls per second that the instance sends for itself
 * @param writer calls per second that it sends as writer of its failure domain; 0 if writes do not
 *     go through writers
 */
public record WriteShares(double direct, double writer) {
  private static final double WRITERS_PART = 0.5;
  private static final double WORTHWHILE_FACTOR = 2;

  /** Checks the rates. */
  public WriteShares {
    if (direct <= 0 || writer < 0) {
      throw new IllegalArgumentException("rates out of range: " + direct + ", " + writer);
    }
  }

  /**
   * Returns the share of an instance that sends all its writes itself.
   *
   * @param settings rates of the platform
   * @param instances number of instances that share the platform
   * @return shares
   */
  public static WriteShares withoutWriters(StoreSettings settings, int instances) {
    return new WriteShares(settings.writesPerSecondAmong(instances), 0);
  }

  /**
   * Returns the shares where each failure domain may have one writer. Half of the rate belongs to
   * the writers and half to all instances, whichever of them are in use, so that the sum stays
   * within the rate when instances write directly because their writer is silent. No writers are
   * used where a writer's share is not at least twice that of an instance.
   *
   * @param settings rates of the platform
   * @param instances number of instances that share the platform
   * @param domains number of failure domains that they are in
   * @return shares
   */
  public static WriteShares withWriters(StoreSettings settings, int instances, int domains) {
    double all = settings.allWritesPerSecond();
    double alone = settings.writesPerSecondAmong(instances);
    double direct = Math.min(alone, (1 - WRITERS_PART) * all / Math.max(1, instances));
    double writer =
        Math.min(settings.writesPerSecond() - direct, WRITERS_PART * all / Math.max(1, domains));
    return writer >= WORTHWHILE_FACTOR * alone
        ? new WriteShares(direct, writer)
        : new WriteShares(alone, 0);
  }

  /**
   * Tells whether writes go through the writers of the failure domains.
   *
   * @return whether they do
   */
  public boolean usesWriters() {
    return writer > 0;
  }

  /** Returns the rate of the writer's calls, that of direct ones where there are no writers. */
  double writerOrDirect() {
    return usesWriters() ? writer : direct;
  }
}
