package org.snipewick.route;

/** Kind of the requests of a route, which decides whether they may be retried. */
public enum CallKind {
  /** Idempotent: may run more than once. */
  SAFE,
  /** Not idempotent: runs at most once for each attempt of the caller. */
  UNSAFE,
  /** Answered with a stream of events; runs at most once unless the route allows resumption. */
  STREAM
}
