package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Optional;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;

/**
 * State of the idempotency key of a model request or read, as known to one instance.
 *
 * @param key key with its team, see {@link KeyedRequest#scopedKey}
 * @param fingerprint hash of the request
 * @param request request that claimed the key
 * @param status status of that request
 * @param answer its answer, empty if it is not stored
 * @param changedAtEpochMillis when the status was set, in milliseconds since the Unix epoch
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record KeyRecord(
    String key,
    String fingerprint,
    RequestId request,
    Status status,
    Optional<StoredAnswer> answer,
    long changedAtEpochMillis) {

  /** Fingerprint that matches every request. */
  static final String ANY_FINGERPRINT = "*";

  /**
   * Placeholder for a request that may have claimed the key but of which no instance has a record.
   */
  static final RequestId UNKNOWN_REQUEST = RequestId.of(InstanceId.of("-"), 0, 0);

  /** Rejects null components. */
  public KeyRecord {
    requireNonNull(key, "key");
    requireNonNull(fingerprint, "fingerprint");
    requireNonNull(request, "request");
    requireNonNull(status, "status");
    requireNonNull(answer, "answer");
  }

  /**
   * Returns a record with status {@link Status#CLAIMED} and no answer.
   *
   * @param request request that claims the key
   * @param nowEpochMillis current time in milliseconds since the Unix epoch
   * @return record of the claim
   */
  public static KeyRecord claimed(KeyedRequest request, long nowEpochMillis) {
    return new KeyRecord(
        request.scopedKey(),
        request.fingerprint(),
        request.id(),
        Status.CLAIMED,
        Optional.empty(),
        nowEpochMillis);
  }

  /**
   * Returns a copy of this record with another status and no answer.
   *
   * @param changed new status
   * @param nowEpochMillis current time in milliseconds since the Unix epoch
   * @return changed copy
   */
  public KeyRecord withStatus(Status changed, long nowEpochMillis) {
    return new KeyRecord(key, fingerprint, request, changed, Optional.empty(), nowEpochMillis);
  }

  /**
   * Returns a copy of this record with another answer.
   *
   * @param changed the answer, empty if it is not stored
   * @return changed copy
   */
  public KeyRecord withAnswer(Optional<StoredAnswer> changed) {
    return new KeyRecord(key, fingerprint, request, status, changed, changedAtEpochMillis);
  }

  /**
   * Returns whether a request with the same key is a duplicate of the recorded one.
   *
   * @param duplicate request with the same key
   * @return whether its fingerprint equals the recorded one, or the recorded one is {@code "*"}
   */
  public boolean matches(KeyedRequest duplicate) {
    return fingerprint.equals(ANY_FINGERPRINT) || fingerprint.equals(duplicate.fingerprint());
  }

  /**
   * Returns whether the request has not ended, as far as is known.
   *
   * @return whether the status is {@link Status#PREPARING} or {@link Status#CLAIMED}
   */
  @JsonIgnore
  public boolean isOpen() {
    return status == Status.PREPARING || status == Status.CLAIMED;
  }

  /**
   * Returns whether the check of the claim has ended. A record whose claim is still being checked
   * must not be handed over to another instance.
   *
   * @return whether the status is not {@link Status#PREPARING}
   */
  @JsonIgnore
  public boolean isVerified() {
    return status != Status.PREPARING;
  }

  /** Status of a request; a later constant supersedes an earlier one. */
  @JsonFormat(shape = JsonFormat.Shape.NUMBER)
  public enum Status {
    /** The request was not and will not be dispatched; the key is free. */
    RELEASED,
    /** The claim is being checked: another request may hold the key. */
    PREPARING,
    /** The request holds the key and may have been dispatched. */
    CLAIMED,
    /** The request may have been dispatched; its outcome is not known. */
    UNKNOWN,
    /** The request was answered. */
    RAN
  }
}
