package org.snipewick.placement;

/** How a request ended at an endpoint, as far as that says something about the endpoint. */
public enum Ended {
  /** It was answered. */
  ANSWERED,
  /** The endpoint answered with a failure of its own, or its answer was not sound. */
  FAILED,
  /** No connection could be made. */
  UNREACHABLE,
  /** The endpoint rejected it without running it. */
  REJECTED,
  /** The endpoint is another one than the one that was meant. */
  MISDIRECTED,
  /** It was given up for reasons that are not the endpoint's. */
  CANCELLED
}
