package org.snipewick.idempotency;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewick.identity.RequestId;
import org.snipewick.membership.LostProcess;
import org.snipewick.peer.PeerMessage;

/** Messages between the instances that keep the records of keys. */
public final class IdempotencyMessages {
  /** Message types by their names on the wire, which must stay stable. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.ofEntries(
          Map.entry("kc", Claim.class),
          Map.entry("kl", Lookup.class),
          Map.entry("ks", StateReply.class),
          Map.entry("kn", WitnessRequest.class),
          Map.entry("kd", WitnessReply.class),
          Map.entry("ka", KeyQuery.class),
          Map.entry("kt", KeyReport.class),
          Map.entry("kf", RequestStatusQuery.class),
          Map.entry("kg", RequestStatusReport.class),
          Map.entry("ku", Update.class),
          Map.entry("kh", HandoverRecords.class),
          Map.entry("ki", HandoverComplete.class),
          Map.entry("kk", Acknowledged.class));

  private IdempotencyMessages() {}

  /**
   * Claim of a key, sent from an entry instance to the registrar.
   *
   * @param request request to dispatch
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Claim(KeyedRequest request) implements PeerMessage {}

  /**
   * Query for the state of a key, sent from an entry instance to the registrar.
   *
   * @param request request with the key
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Lookup(KeyedRequest request) implements PeerMessage {}

  /**
   * Reply to a {@link Claim} or a {@link Lookup}.
   *
   * @param state state of the key
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record StateReply(KeyState state) implements PeerMessage {}

  /**
   * Claim to be stored, sent from the registrar to a witness.
   *
   * @param record the claim
   * @param supersedes released request whose record it replaces, empty if there is none
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record WitnessRequest(KeyRecord record, Optional<RequestId> supersedes)
      implements PeerMessage {}

  /**
   * Reply to a {@link WitnessRequest}.
   *
   * @param outranked whether the key was taken over by a registrar that ranks before the sender
   * @param known record of another request with the key; empty if the claim was stored or is
   *     outranked
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record WitnessReply(boolean outranked, Optional<KeyRecord> known) implements PeerMessage {}

  /**
   * Query for the record of a key, sent from a new registrar to another member.
   *
   * @param key key with its team
   * @param takeOver whether the receiver must stop acting as registrar of the key
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record KeyQuery(String key, boolean takeOver) implements PeerMessage {}

  /**
   * Reply to a {@link KeyQuery}.
   *
   * @param known the member's record of the key, empty if it has none
   * @param coverage period for which the domain's records are complete, according to the member
   * @param self process that replies
   * @param running processes of the domain that the member presumes running
   * @param lostProcesses processes of the domain that were lost
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record KeyReport(
      Optional<KeyRecord> known,
      Coverage coverage,
      MemberProcess self,
      List<MemberProcess> running,
      List<LostProcess> lostProcesses)
      implements PeerMessage {

    /** Copies the lists. */
    public KeyReport {
      running = List.copyOf(running);
      lostProcesses = List.copyOf(lostProcesses);
    }
  }

  /**
   * Query for the status of a request, sent from the registrar to the entry instance.
   *
   * @param request the request
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record RequestStatusQuery(RequestId request) implements PeerMessage {}

  /**
   * Reply to a {@link RequestStatusQuery}.
   *
   * @param status status of the request
   * @param answer its answer, empty if it is not stored
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record RequestStatusReport(KeyRecord.Status status, Optional<StoredAnswer> answer)
      implements PeerMessage {}

  /**
   * Record of a request that has ended, sent from the entry instance to the registrar and from the
   * registrar to a witness.
   *
   * @param record the new record
   * @param forward whether the receiver forwards it to the witness
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Update(KeyRecord record, boolean forward) implements PeerMessage {}

  /**
   * Records to take over, sent from a leaving member to another one.
   *
   * @param records records of keys
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record HandoverRecords(List<KeyRecord> records) implements PeerMessage {

    /** Copies the records. */
    public HandoverRecords {
      records = List.copyOf(records);
    }
  }

  /**
   * Notice that all records have been handed over, sent from a leaving member to all others.
   *
   * @param incarnation start of the leaving process, in milliseconds since the Unix epoch
   * @param coverage period for which the domain's records are complete, according to the member
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record HandoverComplete(long incarnation, Coverage coverage) implements PeerMessage {}

  /**
   * Acknowledgement of a message.
   *
   * @param accepted whether the message took effect
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Acknowledged(boolean accepted) implements PeerMessage {}
}
