package org.snipewick.failure;

import java.util.Set;

/**
 * HTTP statuses that state to the caller that its request has not run and never will. A response
 * with one of them may be passed on only if that is known to be true.
 */
public final class NotRunStatus {
  private static final Set<Integer> STATUSES = Set.of(408, 421, 429, 503);

  private NotRunStatus() {}

  /**
   * Returns whether a status states that the request has not run.
   *
   * @param status HTTP status code
   * @return whether callers may send a request again that must not run twice
   */
  public static boolean isStatedBy(int status) {
    return STATUSES.contains(status);
  }
}
