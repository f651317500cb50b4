package org.snipewick.store.access;

/**
 * Shares of one instance in the write rate of all instances together.
 *
 * @param directPerSecond write calls per second that the instance sends for itself
 * @param writerPerSecond write calls per second that it sends as writer of its failure domain; 0 if
 *     writes do not go through writers
 */
public record WriteShares(double directPerSecond, double writerPerSecond) {
  /** Fraction of the rate of all instances that is reserved for the writers. */
  private static final double WRITERS_FRACTION = 0.5;

  /**
   * Minimum ratio of a writer's share to an instance's share without writers; below it, no writers
   * are used.
   */
  private static final double MIN_GAIN_FACTOR = 2;

  /** Checks that the rates are in range. */
  public WriteShares {
    if (directPerSecond <= 0 || writerPerSecond < 0) {
      throw new IllegalArgumentException(
          "write rates out of range: direct " + directPerSecond + ", writer " + writerPerSecond);
    }
  }

  /**
   * Returns the shares where each instance sends all its writes itself.
   *
   * @param settings rate limits of the platform
   * @param instances number of instances that share the platform
   * @return shares
   */
  public static WriteShares withoutWriters(StoreSettings settings, int instances) {
    return new WriteShares(settings.instanceWritesPerSecond(instances), 0);
  }

  /**
   * Returns the shares where each failure domain may have one writer. Half of the rate is reserved
   * for the writers and half for direct writes of all instances, even if one half is not used. The
   * sum therefore stays within the rate when instances write directly because their writer does not
   * respond. No writers are used if a writer's share would not be at least twice that of an
   * instance that shares the rate without writers.
   *
   * @param settings rate limits of the platform
   * @param instances number of instances that share the platform
   * @param domains number of failure domains in which these instances are
   * @return shares
   */
  public static WriteShares withWriters(StoreSettings settings, int instances, int domains) {
    double allPerSecond = settings.allWritesPerSecond();
    double withoutWriters = settings.instanceWritesPerSecond(instances);
    double direct =
        Math.min(withoutWriters, (1 - WRITERS_FRACTION) * allPerSecond / Math.max(1, instances));
    double writer =
        Math.min(
            settings.writesPerSecond() - direct,
            WRITERS_FRACTION * allPerSecond / Math.max(1, domains));
    return writer >= MIN_GAIN_FACTOR * withoutWriters
        ? new WriteShares(direct, writer)
        : new WriteShares(withoutWriters, 0);
  }

  /**
   * Returns whether writes go through the writers of the failure domains.
   *
   * @return whether writers are used
   */
  public boolean usesWriters() {
    return writerPerSecond > 0;
  }

  /** Returns the calls per second of the writer; those of direct writes if there are no writers. */
  double writerOrDirectPerSecond() {
    return usesWriters() ? writerPerSecond : directPerSecond;
  }
}
