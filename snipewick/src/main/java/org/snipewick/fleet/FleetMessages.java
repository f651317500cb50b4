package org.snipewick.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Map;
import org.snipewick.peer.PeerMessage;

/** Messages between instances about what they have spent and sent. */
public final class FleetMessages {
  /** Message types by their stable names. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of("fr", Report.class, "fq", ProofQuery.class, "fp", Proof.class);

  private FleetMessages() {}

  /**
   * Tells what an instance has spent of quotas and what it has at endpoints.
   *
   * @param uptimeMillis time since the start of the process; -1 at the first start of the system
   * @param spent amounts of quotas by team
   * @param present requests that are at endpoints now by endpoint; endpoints without any are left
   *     out
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Report(long uptimeMillis, Map<String, Spent> spent, Map<String, Integer> present)
      implements PeerMessage {

    /** Copies the maps. */
    public Report {
      spent = Map.copyOf(spent);
      present = Map.copyOf(present);
    }
  }

  /**
   * What a team has spent at an instance.
   *
   * @param total since the start of the process
   * @param recent within the latest window of quotas
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Spent(double total, double recent) {}

  /** Asks which routing plan an instance has, and since when that is not proved. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record ProofQuery() implements PeerMessage {}

  /**
   * Answers a {@link ProofQuery}.
   *
   * @param version version of the plan in force; -1 without one
   * @param ageMillis time since it was proved to be the newest, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Proof(long version, long ageMillis) implements PeerMessage {}
}
