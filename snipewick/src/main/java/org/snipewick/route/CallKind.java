package org.snipewick.route;

/** What may be repeated of the requests of a route. */
public enum CallKind {
  /** Idempotent: may run more than once. */
  SAFE,
  /** Runs at most once for each attempt of the caller. */
  UNSAFE,
  /** Answered by a stream of events; runs at most once unless the route lets streams be resumed. */
  STREAM
}
