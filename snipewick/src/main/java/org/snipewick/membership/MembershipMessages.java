package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import org.snipewick.identity.FailureDomain;
import org.snipewick.peer.PeerMessage;

/** Peer messages of membership: heartbeats, digests and the states of failure domains. */
public final class MembershipMessages {
  /** Message types by their names on the wire, which must stay stable. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of("mh", Heartbeat.class, "md", Digest.class, "ms", DomainState.class);

  private MembershipMessages() {}

  /**
   * Heartbeat to a member of the local failure domain; acknowledges the receiver's last one.
   *
   * @param incarnation start of the sender's process
   * @param refutation number of times the sender has refuted a claim that it is dead
   * @param status status of the sender
   * @param sequence number of the sender's heartbeat round, growing across incarnations
   * @param acknowledged highest sequence received from the receiver, 0 if none
   * @param deadRefutation refutation in the sender's claim that the receiver has ended, plus one; 0
   *     if the sender considers the receiver alive
   * @param domainHash hash of the members of the local domain in the member table of the sender
   * @param version version of the catalogue in force at the sender
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Heartbeat(
      long incarnation,
      int refutation,
      MemberClaim.Status status,
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
   * Summary of the sender's member table, sent to remote members and to local peers.
   *
   * @param sender claim of the sender about itself
   * @param domains summary of each failure domain
   * @param version version of the catalogue in force at the sender
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Digest(MemberClaim sender, List<DomainDigest> domains, long version)
      implements PeerMessage {

    Digest {
      requireNonNull(sender, "sender");
      domains = List.copyOf(domains);
    }
  }

  /**
   * Summary of one failure domain.
   *
   * @param domain failure domain
   * @param hash hash of its members that have an incarnation and have not ended
   * @param heartbeatCounter counter that only members of the domain increment
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record DomainDigest(FailureDomain domain, int hash, long heartbeatCounter) {

    DomainDigest {
      requireNonNull(domain, "domain");
    }
  }

  /**
   * All claims about the members of one failure domain, sent where summaries differ.
   *
   * @param domain failure domain
   * @param hash hash of its members in the member table of the sender
   * @param claims claims about its members, ended ones included
   * @param lostProcesses lost processes of the domain, empty unless it is the sender's domain
   * @param reply whether this is the reply to another such message; a reply is not answered
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record DomainState(
      FailureDomain domain,
      int hash,
      List<MemberClaim> claims,
      List<LostProcess> lostProcesses,
      boolean reply)
      implements PeerMessage {

    DomainState {
      requireNonNull(domain, "domain");
      claims = List.copyOf(claims);
      lostProcesses = List.copyOf(lostProcesses);
    }
  }
}
