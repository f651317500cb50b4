package org.snipewick.standins.platform;

/**
 * Limits of the stand-in platform.
 *
 * @param writesPerSecond writes above which calls are answered with 429
 * @param readsPerSecond reads above which calls are answered with 429
 * @param weightsPerSecond reads of the weight store above which calls are answered with 429
 * @param listLagMillis age of the instance list in milliseconds
 * @param listKind what the instance list offers besides the whole list
 */
public record PlatformSettings(
    double writesPerSecond,
    double readsPerSecond,
    double weightsPerSecond,
    long listLagMillis,
    ListKind listKind) {
  private static final double WRITES_PER_SECOND = 300;
  private static final double READS_PER_SECOND = 2000;
  private static final double WEIGHTS_PER_SECOND = 2;

  /** Checks the limits; what is missing, as a rate of 0, means the default. */
  public PlatformSettings {
    if (writesPerSecond < 0 || readsPerSecond < 0 || weightsPerSecond < 0 || listLagMillis < 0) {
      throw new IllegalArgumentException("Limits must not be negative");
    }
    writesPerSecond = writesPerSecond == 0 ? WRITES_PER_SECOND : writesPerSecond;
    readsPerSecond = readsPerSecond == 0 ? READS_PER_SECOND : readsPerSecond;
    listKind = listKind == null ? ListKind.CONDITIONAL : listKind;
    weightsPerSecond = weightsPerSecond == 0 ? WEIGHTS_PER_SECOND : weightsPerSecond;
  }

  /**
   * Returns limits with a full instance list.
   *
   * @param writesPerSecond as above
   * @param readsPerSecond as above
   * @param weightsPerSecond as above
   * @param listLagMillis as above
   */
  public PlatformSettings(
      double writesPerSecond, double readsPerSecond, double weightsPerSecond, long listLagMillis) {
    this(writesPerSecond, readsPerSecond, weightsPerSecond, listLagMillis, ListKind.CONDITIONAL);
  }

  /** What the instance list offers besides the whole list. */
  public enum ListKind {
    /** Entity tags and parts by kind and failure domain. */
    CONDITIONAL,
    /** Nothing: queries and conditions are ignored. */
    PLAIN,
    /** Nothing: queries are refused. */
    STRICT
  }

  /**
   * Returns these limits with another kind of instance list.
   *
   * @param changed what the list offers
   * @return changed copy
   */
  public PlatformSettings withListKind(ListKind changed) {
    return new PlatformSettings(
        writesPerSecond, readsPerSecond, weightsPerSecond, listLagMillis, changed);
  }

  /**
   * Returns the default limits.
   *
   * @return settings
   */
  public static PlatformSettings defaults() {
    return new PlatformSettings(0, 0, 0, 0);
  }
}
