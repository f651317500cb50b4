package org.snipewick.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Map;
import org.snipewick.peer.PeerMessage;

/** Messages between instances: reports of spending and load, and queries of proofs. */
public final class FleetMessages {
  /** Message types by their names on the wire, which must stay stable. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of("fr", Report.class, "fq", ProofQuery.class, "fp", Proof.class);

  private FleetMessages() {}

  /**
   * Report of the spending of an instance and of its requests in flight.
   *
   * @param uptimeMillis time since the start of the process, in milliseconds; -1 at the first start
   *     of the system
   * @param spent spending by team
   * @param inFlight number of requests in flight by endpoint; endpoints without any are omitted
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Report(long uptimeMillis, Map<String, Spent> spent, Map<String, Integer> inFlight)
      implements PeerMessage {

    /** Copies the maps. */
    public Report {
      spent = Map.copyOf(spent);
      inFlight = Map.copyOf(inFlight);
    }
  }

  /**
   * Spending of a team at an instance, in the unit of the team's quota.
   *
   * @param total amount since the start of the process
   * @param recent amount within the latest window of quotas
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Spent(double total, double recent) {}

  /** Query for the version of an instance's routing plan and the age of its proof. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record ProofQuery() implements PeerMessage {}

  /**
   * Reply to a {@link ProofQuery}.
   *
   * @param version version of the plan in force; -1 without one
   * @param ageMillis age of the latest proof that it is the newest, in milliseconds; -1 without a
   *     plan
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Proof(long version, long ageMillis) implements PeerMessage {}
}
