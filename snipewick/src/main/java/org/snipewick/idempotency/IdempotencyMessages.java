package org.snipewick.idempotency;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewick.identity.RequestId;
import org.snipewick.membership.Loss;
import org.snipewick.peer.PeerMessage;

/** Messages between the instances that remember keys. */
public final class IdempotencyMessages {
  /** Message types by their stable names. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.ofEntries(
          Map.entry("kc", Claim.class),
          Map.entry("kl", Lookup.class),
          Map.entry("ks", State.class),
          Map.entry("kn", Note.class),
          Map.entry("kd", Noted.class),
          Map.entry("ka", Ask.class),
          Map.entry("kt", Told.class),
          Map.entry("kf", Confirm.class),
          Map.entry("kg", Confirmed.class),
          Map.entry("ku", Update.class),
          Map.entry("kh", HandOver.class),
          Map.entry("ki", HandedOver.class),
          Map.entry("kk", Acknowledged.class));

  private IdempotencyMessages() {}

  /**
   * Entry to registrar: asks for the right to dispatch a call.
   *
   * @param request the call
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Claim(KeyedRequest request) implements PeerMessage {}

  /**
   * Entry to registrar: asks what is known of a key.
   *
   * @param request the key
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Lookup(KeyedRequest request) implements PeerMessage {}

  /**
   * Answer to a claim or a lookup.
   *
   * @param state what the call may do
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record State(KeyState state) implements PeerMessage {}

  /**
   * Registrar to witness: remember a claim.
   *
   * @param record the claim
   * @param supersedes released claim that it replaces
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Note(KeyRecord record, Optional<RequestId> supersedes) implements PeerMessage {}

  /**
   * Answer of the witness.
   *
   * @param outranked whether the key was left to a registrar that precedes the sender
   * @param known another record of the key; empty if the note was taken
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Noted(boolean outranked, Optional<KeyRecord> known) implements PeerMessage {}

  /**
   * New registrar to another member: what is known of a key.
   *
   * @param key key with its team
   * @param takeOver whether the asked member must not act as registrar of the key any more
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Ask(String key, boolean takeOver) implements PeerMessage {}

  /**
   * Answer of a member.
   *
   * @param known its record of the key
   * @param coverage for which time its domain's memory is complete
   * @param self process that answers
   * @param running processes of the domain that it takes for running
   * @param losses processes of the domain that were lost
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Told(
      Optional<KeyRecord> known,
      Coverage coverage,
      MemberProcess self,
      List<MemberProcess> running,
      List<Loss> losses)
      implements PeerMessage {

    /** Copies the lists. */
    public Told {
      running = List.copyOf(running);
      losses = List.copyOf(losses);
    }
  }

  /**
   * Registrar to the entry of a call: what became of it.
   *
   * @param request the call
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Confirm(RequestId request) implements PeerMessage {}

  /**
   * Answer of the entry.
   *
   * @param status what became of the call
   * @param answer its answer if it is held
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Confirmed(KeyRecord.Status status, Optional<StoredAnswer> answer)
      implements PeerMessage {}

  /**
   * Entry to registrar, and registrar to witness: a call has ended.
   *
   * @param record the new record
   * @param forward whether the receiver passes it on to the witness
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Update(KeyRecord record, boolean forward) implements PeerMessage {}

  /**
   * Leaving member to another: records to take over.
   *
   * @param records records
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record HandOver(List<KeyRecord> records) implements PeerMessage {

    /** Copies the records. */
    public HandOver {
      records = List.copyOf(records);
    }
  }

  /**
   * Leaving member to all others: its records have all been handed over.
   *
   * @param incarnation start of the leaving process
   * @param coverage for which time its domain's memory is complete
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record HandedOver(long incarnation, Coverage coverage) implements PeerMessage {}

  /**
   * The message was received.
   *
   * @param accepted whether it took effect
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Acknowledged(boolean accepted) implements PeerMessage {}
}
