package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import org.snipewick.identity.FailureDomain;
import org.snipewick.peer.PeerMessage;

/** Messages of membership. */
public final class MembershipMessages {
  /** Message types by stable name. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of("mh", Heartbeat.class, "md", Digest.class, "ms", DomainState.class);

  private MembershipMessages() {}

  /**
   * Sign of life to a member of the own failure domain; answers the receiver's last one.
   *
   * @param incarnation start of the sender's process
   * @param refutation refutation of the sender
   * @param status status of the sender
   * @param sequence number of the sender's round, growing over incarnations
   * @param acknowledged highest sequence received from the receiver, 0 if none
   * @param deadRefutation refutation of the receiver that the sender holds for dead, plus one; 0 if
   *     it holds the receiver for alive
   * @param domainHash hash of the members of the domain that the sender knows
   * @param version version of the catalogue in force at the sender
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Heartbeat(
      long incarnation,
      int refutation,
      Claim.Status status,
      long sequence,
      long acknowledged,
      int deadRefutation,
      int domainHash,
      long version)
      implements PeerMessage {

    Heartbeat {
      requireNonNull(status, "status");
    }
  }

  /**
   * Summary of all that the sender knows, to a member of another failure domain.
   *
   * @param sender claim of the sender about itself
   * @param domains summary of each failure domain
   * @param version version of the catalogue in force at the sender
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Digest(Claim sender, List<DomainDigest> domains, long version) implements PeerMessage {

    Digest {
      requireNonNull(sender, "sender");
      domains = List.copyOf(domains);
    }
  }

  /**
   * Summary of one failure domain.
   *
   * @param domain failure domain
   * @param hash hash of its members that have not ended
   * @param beat counter that only members of the domain raise
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record DomainDigest(FailureDomain domain, int hash, long beat) {

    DomainDigest {
      requireNonNull(domain, "domain");
    }
  }

  /**
   * All claims about the members of one failure domain, sent where summaries differ.
   *
   * @param domain failure domain
   * @param hash hash of its members that the sender knows
   * @param claims claims about its members, ended ones included
   * @param losses processes lost, if it is the sender's own domain
   * @param reply whether this answers another such message and wants no answer
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record DomainState(
      FailureDomain domain, int hash, List<Claim> claims, List<Loss> losses, boolean reply)
      implements PeerMessage {

    DomainState {
      requireNonNull(domain, "domain");
      claims = List.copyOf(claims);
      losses = List.copyOf(losses);
    }
  }
}
