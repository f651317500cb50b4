package org.snipewick.broker;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;
import org.snipewick.peer.PeerMessage;
import org.snipewick.placement.AttemptResult;
import org.snipewick.placement.PlacementDecision;
import org.snipewick.placement.ReportedLoad;

/**
 * Messages between an instance that has requests, the requester, and the broker of its failure
 * domain. What an instance sends to another one within one turn of its event loop is one message.
 * Times are durations from the sending of the message, as clocks of instances differ.
 */
public final class BrokerMessages {
  /** Message types by their names on the wire, which must stay stable. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of("bq", ToBroker.class, "br", FromBroker.class);

  /** Session of a broker that does not place requests. */
  static final long NO_SESSION = 0;

  private BrokerMessages() {}

  /**
   * Message of a requester.
   *
   * @param epoch number by which the broker tells whether the requester still holds what it was
   *     granted; another number means that it holds nothing
   * @param sequence number of the message within the epoch, which shows lost ones
   * @param isReplyExpected whether the broker must reply, even if it has nothing to tell
   * @param requests requests to place
   * @param progress news of running requests
   * @param ends ends of requests that the broker placed
   * @param withdrawn numbers of requests that are no longer to be placed
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record ToBroker(
      long epoch,
      long sequence,
      boolean isReplyExpected,
      List<PlacementRequest> requests,
      List<Progress> progress,
      List<End> ends,
      List<Long> withdrawn)
      implements PeerMessage {

    /** Copies the lists. */
    public ToBroker {
      requests = List.copyOf(requests);
      progress = List.copyOf(progress);
      ends = List.copyOf(ends);
      withdrawn = List.copyOf(withdrawn);
    }
  }

  /**
   * Request that waits for an endpoint.
   *
   * @param id number that the requester uses once
   * @param pool pool
   * @param tier tier
   * @param team name of the team; empty if it has none
   * @param ageMillis time since it arrived, in milliseconds
   * @param onTimeMillis time until it is late, in milliseconds
   * @param usefulMillis time until an answer is of no use, in milliseconds
   * @param promptTokens tokens of its prompt
   * @param tried endpoints that it was sent to before
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record PlacementRequest(
      long id,
      PoolName pool,
      Tier tier,
      String team,
      long ageMillis,
      long onTimeMillis,
      long usefulMillis,
      long promptTokens,
      Set<EndpointId> tried) {

    /** Checks the components and copies the set. */
    public PlacementRequest {
      requireNonNull(pool, "pool");
      requireNonNull(tier, "tier");
      requireNonNull(team, "team");
      tried = Set.copyOf(tried);
    }
  }

  /**
   * News of a running request: its prefill has ended.
   *
   * @param id number of the request
   * @param load load that the endpoint reported, as a list of one; empty if it reported none
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Progress(long id, List<Load> load) {

    /** Copies the list. */
    public Progress {
      load = List.copyOf(load);
    }
  }

  /**
   * End of a request that the broker placed.
   *
   * @param id number of the request
   * @param result how it ended
   * @param nanosPerUnit time that a unit of the answer took, in nanoseconds; 0 if not known
   * @param pauseMillis pause that the endpoint asked for, in milliseconds; 0 if it asked for none
   * @param load load that the endpoint reported, as a list of one; empty if it reported none
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record End(
      long id, AttemptResult result, long nanosPerUnit, long pauseMillis, List<Load> load) {

    /** Checks the result and copies the list. */
    public End {
      requireNonNull(result, "result");
      load = List.copyOf(load);
    }

    /** Returns the end of a request that was not sent, or whose result says nothing. */
    static End cancelled(long id) {
      return new End(id, AttemptResult.CANCELLED, 0, 0, List.of());
    }
  }

  /**
   * Load that an endpoint reported.
   *
   * @param running requests that it was running
   * @param queued requests that were queued there
   * @param slots requests that it can run at the same time
   * @param workTimePercent how long work took, in percent of the usual time; 0 if it does not tell
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Load(int running, int queued, int slots, int workTimePercent) {

    /**
     * Checks the range of the components.
     *
     * @throws IllegalArgumentException if a number is out of its range
     */
    public Load {
      if (running < 0 || queued < 0 || slots < 1 || workTimePercent < 0) {
        throw new IllegalArgumentException("load is out of range");
      }
    }

    static Load of(ReportedLoad load) {
      return new Load(
          load.running(), load.queued(), load.slots(), load.workTimePercent().orElse(0));
    }

    /** Returns the load as placement uses it. */
    ReportedLoad toReportedLoad() {
      OptionalInt percent =
          workTimePercent == 0 ? OptionalInt.empty() : OptionalInt.of(workTimePercent);
      return new ReportedLoad(running, queued, slots, percent);
    }
  }

  /**
   * Message of a broker.
   *
   * @param epoch epoch of the requester that it belongs to
   * @param session number that changes when the broker has forgotten what it granted to the
   *     requester; {@link #NO_SESSION} if it does not place requests
   * @param sequence number of the message within the session, which shows lost ones
   * @param grants endpoints for requests
   * @param refusals refusals of requests
   * @param queued numbers of requests that wait at the broker
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record FromBroker(
      long epoch,
      long session,
      long sequence,
      List<Grant> grants,
      List<Refusal> refusals,
      List<Long> queued)
      implements PeerMessage {

    /** Copies the lists. */
    public FromBroker {
      grants = List.copyOf(grants);
      refusals = List.copyOf(refusals);
      queued = List.copyOf(queued);
    }
  }

  /**
   * Endpoint for a request.
   *
   * @param id number of the request
   * @param endpoint endpoint to send it to
   * @param inFlight estimated number of requests in flight there before this one
   * @param waiting number of other requests that wait for the pool at the broker
   * @param isPermitted whether a permit was used, as the broker knows a limit of the endpoint
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Grant(
      long id, EndpointId endpoint, int inFlight, int waiting, boolean isPermitted) {

    /** Checks that no component is null. */
    public Grant {
      requireNonNull(endpoint, "endpoint");
    }
  }

  /**
   * Refusal of a request.
   *
   * @param id number of the request
   * @param reason reason
   * @param retryAfterMillis time after which a retry is likely to be served, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Refusal(long id, PlacementDecision.Reason reason, long retryAfterMillis) {

    /** Checks that no component is null. */
    public Refusal {
      requireNonNull(reason, "reason");
    }
  }
}
