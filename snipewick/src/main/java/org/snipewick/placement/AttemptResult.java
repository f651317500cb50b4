package org.snipewick.placement;

/** Result of one attempt to have a request answered by an endpoint. */
public enum AttemptResult {
  /** The endpoint answered the request. */
  ANSWERED,
  /** The endpoint answered with an error of its own, or with a malformed or incomplete answer. */
  FAILED,
  /** No connection to the endpoint could be opened. */
  UNREACHABLE,
  /** The endpoint rejected the request without running it. */
  REJECTED,
  /** Another endpoint than the intended one received the request. */
  MISDIRECTED,
  /** The request was cancelled for a reason unrelated to the endpoint. */
  CANCELLED
}
