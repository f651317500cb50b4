package org.snipewick.limits;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import org.snipewick.identity.TeamName;
import org.snipewick.peer.PeerMessage;

/** Messages between instances and the homes of teams. */
public final class LimitMessages {
  /** Message types by their stable names. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of("ld", Demands.class, "ls", Shares.class);

  private LimitMessages() {}

  /**
   * Tells a home what an instance would use of teams' limits.
   *
   * @param demands demand by team
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
   * @param wanted what its callers ask for, as a share of the team's limit
   * @param held share that the instance holds at present
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Demand(TeamName team, float wanted, float held) {

    /** Checks the team. */
    public Demand {
      requireNonNull(team, "team");
    }
  }

  /**
   * Tells an instance its shares.
   *
   * @param shares share by team
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
   * @param share share of the limit, 0 to 1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Share(TeamName team, float share) {

    /** Checks the team. */
    public Share {
      requireNonNull(team, "team");
    }
  }
}
