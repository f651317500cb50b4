package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Map;
import java.util.Set;
import org.snipewick.peer.PeerMessage;

/**
 * Messages between instances: reports of load and held slots, their sums, and queries of proofs.
 */
public final class FleetMessages {
  /** Message types by their names on the wire, which must stay stable. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of(
          "fm", Report.class,
          "fg", GroupSum.class,
          "fs", PeerSum.class,
          "fq", ProofQuery.class,
          "fp", Proof.class);

  private FleetMessages() {}

  /**
   * Report of an instance to the collector of its group.
   *
   * @param slots numbers of the slots of quotas that the instance holds
   * @param inFlight number of requests in flight by endpoint; endpoints without any are omitted
   * @param limits limits that responses to this instance named or ended lately, by endpoint
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Report(
      Set<Integer> slots, Map<String, Integer> inFlight, Map<String, EndpointLimit> limits)
      implements PeerMessage {

    /** Copies the components. */
    public Report {
      slots = Set.copyOf(slots);
      inFlight = Map.copyOf(inFlight);
      limits = Map.copyOf(limits);
    }

    /**
     * Creates a report without limits of endpoints.
     *
     * @param slots numbers of the slots of quotas that the instance holds
     * @param inFlight number of requests in flight by endpoint
     */
    public Report(Set<Integer> slots, Map<String, Integer> inFlight) {
      this(slots, inFlight, Map.of());
    }
  }

  /**
   * Sum of a collector over the instances that report to it, sent to the collectors of the other
   * groups.
   *
   * @param group name of the group
   * @param totals sum over the group
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record GroupSum(String group, Totals totals) implements PeerMessage {

    /** Checks that no component is null. */
    public GroupSum {
      requireNonNull(group, "group");
      requireNonNull(totals, "totals");
    }
  }

  /**
   * Sum over all instances except the receiver, sent by a collector to each instance that reports
   * to it.
   *
   * @param totals sum over the other instances
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record PeerSum(Totals totals) implements PeerMessage {

    /** Checks that no component is null. */
    public PeerSum {
      requireNonNull(totals, "totals");
    }
  }

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
