package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Optional;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;

/**
 * What an instance remembers of the key of a model request or read.
 *
 * @param key key as remembered, with its team
 * @param fingerprint hash of the request
 * @param request call that was given the right to be dispatched
 * @param status what became of that call
 * @param answer its answer, if it is held
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

  /** Fingerprint of a record that stands for any request. */
  static final String ANY_FINGERPRINT = "*";

  /** Call of a record that stands for a call that nobody knows any more. */
  static final RequestId NOBODY = RequestId.of(InstanceId.of("-"), 0, 0);

  /** Checks the parts. */
  public KeyRecord {
    requireNonNull(key, "key");
    requireNonNull(fingerprint, "fingerprint");
    requireNonNull(request, "request");
    requireNonNull(status, "status");
    requireNonNull(answer, "answer");
  }

  /**
   * Returns the record of a claim.
   *
   * @param request the claiming call
   * @param nowEpochMillis now, in milliseconds since the Unix epoch
   * @return record
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
   * Returns this record with another status and no answer.
   *
   * @param changed what became of the call
   * @param nowEpochMillis now, in milliseconds since the Unix epoch
   * @return changed copy
   */
  public KeyRecord withStatus(Status changed, long nowEpochMillis) {
    return new KeyRecord(key, fingerprint, request, changed, Optional.empty(), nowEpochMillis);
  }

  /**
   * Returns this record with another answer.
   *
   * @param changed the answer, empty if it is not held
   * @return changed copy
   */
  public KeyRecord withAnswer(Optional<StoredAnswer> changed) {
    return new KeyRecord(key, fingerprint, request, status, changed, changedAtEpochMillis);
  }

  /**
   * Tells whether a call is a repeat of what this record stands for.
   *
   * @param repeat call with the same key
   * @return whether its fingerprint is the same
   */
  public boolean matches(KeyedRequest repeat) {
    return fingerprint.equals(ANY_FINGERPRINT) || fingerprint.equals(repeat.fingerprint());
  }

  /**
   * Tells whether the call has not ended, as far as is known.
   *
   * @return whether it asks for the key or has it
   */
  @JsonIgnore
  public boolean isOpen() {
    return status == Status.PREPARING || status == Status.CLAIMED;
  }

  /**
   * Tells whether more is known than that the call asks for the key.
   *
   * @return whether the record may be taken over by another instance
   */
  @JsonIgnore
  public boolean isProved() {
    return status != Status.PREPARING;
  }

  /** What became of a call; a later constant outweighs an earlier one. */
  @JsonFormat(shape = JsonFormat.Shape.NUMBER)
  public enum Status {
    /** The call was proved not to be dispatched; the key is free. */
    RELEASED,
    /** The call asks for the key; that nobody else has it is not proved yet. */
    PREPARING,
    /** The call was given the key and may be on its way. */
    CLAIMED,
    /** The call may have been dispatched, and its end is not known. */
    UNKNOWN,
    /** The call was answered. */
    RAN
  }
}
