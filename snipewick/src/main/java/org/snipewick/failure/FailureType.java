package org.snipewick.failure;

import static java.util.Objects.requireNonNull;

/**
 * Types of failures that are reported to callers, operators or peers. Number, HTTP status and title
 * are part of the public API; a number is never reused.
 */
public enum FailureType {
  /** The request is malformed. */
  MALFORMED_REQUEST(1001, 400, "Malformed request"),
  /** The request exceeds a size limit. */
  REQUEST_TOO_LARGE(1002, 413, "Request too large"),
  /** The caller did not authenticate. */
  UNAUTHENTICATED(1003, 401, "Unknown or missing credentials"),
  /** The team may not make this request. */
  FORBIDDEN(1004, 403, "Not permitted"),
  /** The model, service or resource does not exist. */
  NOT_FOUND(1005, 404, "Not found"),
  /** A request with side effects has no idempotency key. */
  KEY_REQUIRED(1006, 400, "Idempotency key required"),
  /** The idempotency key was used for a different request. */
  KEY_REUSED(1007, 422, "Idempotency key reused for another request"),
  /** The path does not support the HTTP method. */
  METHOD_NOT_ALLOWED(1008, 405, "Method not allowed"),
  /** The team exceeded one of its limits. */
  LIMIT_EXCEEDED(1101, 429, "Team limit exceeded"),
  /** The load is too high to serve a request of this tier. */
  SHED(1102, 503, "Shed under load"),
  /** The request cannot be answered before its deadline. */
  DEADLINE_UNREACHABLE(1103, 503, "Cannot be answered in the agreed time"),
  /** The request was not answered before its deadline. */
  DEADLINE_EXCEEDED(1104, 504, "Agreed time exceeded"),
  /** No endpoint of the pool is available. */
  NO_ENDPOINT(1105, 503, "No endpoint available"),
  /** The instance is stopping. */
  STOPPING(1106, 503, "Instance is stopping"),
  /** The platform cannot be reached for a necessary write. */
  PLATFORM_UNAVAILABLE(1107, 503, "Platform unavailable"),
  /** The registrar of the idempotency key cannot be reached. */
  REGISTRAR_UNAVAILABLE(1108, 503, "Key registrar unavailable"),
  /** A request with the same idempotency key is still in progress. */
  IN_PROGRESS(1109, 409, "Request with this key is in progress"),
  /** The caller closed its connection before the answer was complete. */
  CALLER_LEFT(1110, 499, "Caller left"),
  /** The request contains a prompt part that crashes endpoints. */
  QUARANTINED(1111, 503, "Prompt part is quarantined"),
  /** It is unknown whether the request ran. */
  OUTCOME_UNKNOWN(1201, 502, "Outcome unknown"),
  /** The endpoint did not complete its answer. */
  ANSWER_INCOMPLETE(1202, 502, "Answer incomplete"),
  /** The endpoint rejected the request before running it. */
  ENDPOINT_REFUSED(1203, 503, "Endpoint refused the request"),
  /** The request ran, but its answer was not or is no longer stored. */
  ANSWER_NO_LONGER_HELD(1204, 410, "Request ran; its answer is no longer held"),
  /** Another operator changed the catalogue first. */
  CATALOGUE_CONFLICT(1301, 409, "Catalogue was changed by another operator"),
  /** The catalogue change is not valid. */
  CATALOGUE_INVALID(1302, 422, "Catalogue change is not valid"),
  /** The lease has another holder or has expired. */
  LEASE_NOT_HELD(1303, 409, "Lease not held"),
  /** A peer could not be reached or did not answer in time. */
  PEER_UNAVAILABLE(1401, 503, "Peer instance unavailable"),
  /** A frame from a peer is malformed or too large. */
  MALFORMED_FRAME(1402, 400, "Malformed frame"),
  /** A later process with the same instance name has replaced the requesting process. */
  SUPERSEDED(1403, 409, "Instance was replaced by a later process"),
  /** The settings are not valid. */
  SETTINGS_INVALID(1501, 400, "Settings are not valid"),
  /** The program has a defect. */
  INTERNAL(1901, 500, "Internal error");

  private final int number;
  private final int status;
  private final String title;

  FailureType(int number, int status, String title) {
    this.number = number;
    this.status = status;
    this.title = requireNonNull(title, "title");
  }

  /**
   * Returns the number of this type.
   *
   * @return number, the same in all versions
   */
  public int number() {
    return number;
  }

  /**
   * Returns the HTTP status.
   *
   * @return status code, 400 to 599
   */
  public int status() {
    return status;
  }

  /**
   * Returns the title.
   *
   * @return short text in English
   */
  public String title() {
    return title;
  }
}
