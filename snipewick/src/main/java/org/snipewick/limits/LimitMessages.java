package org.snipewick.limits;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import org.snipewick.identity.TeamName;
import org.snipewick.peer.PeerMessage;

/** Messages between instances and the coordinators of team limits. */
public final class LimitMessages {
  /** Message types by their names on the wire, which must stay stable. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of("ld", Demands.class, "ls", Shares.class);

  private LimitMessages() {}

  /**
   * Report of the demand of an instance, sent to a coordinator.
   *
   * @param demands demands, one per team
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Demands(List<Demand> demands) implements PeerMessage {

    /** Copies the list. */
    public Demands {
      demands = List.copyOf(demands);
    }
  }

  /**
   * Demand of one team at one instance.
   *
   * @param team team
   * @param wanted demand of its callers, as a share of the team's limit; can exceed 1
   * @param held share that was last granted to the instance, 0 to 1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Demand(TeamName team, float wanted, float held) {

    /** Checks that the team is not null. */
    public Demand {
      requireNonNull(team, "team");
    }
  }

  /**
   * Shares that a coordinator grants to an instance after its {@link Demands}.
   *
   * @param shares shares, one per team
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Shares(List<Share> shares) implements PeerMessage {

    /** Copies the list. */
    public Shares {
      shares = List.copyOf(shares);
    }
  }

  /**
   * Share of one team's limit.
   *
   * @param team team
   * @param share share of the leased part of the limit, 0 to 1; the rest of the limit is divided
   *     evenly without leases
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Share(TeamName team, float share) {

    /** Checks that the team is not null. */
    public Share {
      requireNonNull(team, "team");
    }
  }
}
