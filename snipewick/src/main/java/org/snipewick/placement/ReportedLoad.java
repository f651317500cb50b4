package org.snipewick.placement;

/**
 * Load that an endpoint told with an answer.
 *
 * @param running requests that it ran
 * @param waiting requests that waited there
 * @param slots requests that it runs at once
 */
public record ReportedLoad(int running, int waiting, int slots) {

  /** Checks the counts. */
  public ReportedLoad {
    if (running < 0 || waiting < 0 || slots < 1) {
      throw new IllegalArgumentException("load out of range");
    }
  }
}
