package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.RequestId;
import org.snipewick.peer.PeerMessage;

/** Messages between the entry instances of callers and the schedulers of pools. */
public final class PoolMessages {
  /** Message types by their stable names. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of(
          "po", Offer.class,
          "pd", Decided.class,
          "pr", Report.class,
          "ph", Heartbeat.class,
          "pm", Missing.class);

  private PoolMessages() {}

  /**
   * Offers a request to a scheduler.
   *
   * @param work request
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Offer(WorkRequest work) implements PeerMessage {

    /** Checks the request. */
    public Offer {
      requireNonNull(work, "work");
    }
  }

  /**
   * Tells the entry instance what was decided about its request.
   *
   * @param pool pool of the request
   * @param decision decision
   * @param endpoint status of the granted endpoint; empty unless it is a grant
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Decided(PoolName pool, Decision decision, Optional<EndpointStatus> endpoint)
      implements PeerMessage {

    /** Checks the parts. */
    public Decided {
      requireNonNull(pool, "pool");
      requireNonNull(decision, "decision");
      requireNonNull(endpoint, "endpoint");
    }
  }

  /**
   * Reports about a waiting or granted request.
   *
   * @param pool pool of the request
   * @param event report
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Report(PoolName pool, WorkEvent event) implements PeerMessage {

    /** Checks the parts. */
    public Report {
      requireNonNull(pool, "pool");
      requireNonNull(event, "event");
    }
  }

  /**
   * Tells a scheduler what an entry instance believes to have with it; sent twice a second.
   *
   * @param pool pool of the requests
   * @param incarnation start of the entry instance's process, in milliseconds since the Unix epoch
   * @param waiting numbers of the requests that wait for a decision
   * @param running numbers of the requests that are granted
   * @param outputTokens output tokens so far of each running request, in the same order
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Heartbeat(
      PoolName pool,
      long incarnation,
      List<Long> waiting,
      List<Long> running,
      List<Integer> outputTokens)
      implements PeerMessage {

    /** Checks and copies the parts. */
    public Heartbeat {
      requireNonNull(pool, "pool");
      waiting = List.copyOf(waiting);
      running = List.copyOf(running);
      outputTokens = List.copyOf(outputTokens);
      if (running.size() != outputTokens.size()) {
        throw new IllegalArgumentException("each running request needs its output tokens");
      }
    }
  }

  /**
   * Tells an entry instance that the sender does not know requests, or is not their scheduler.
   *
   * @param pool pool of the requests
   * @param requests requests to be offered or reported anew
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Missing(PoolName pool, List<RequestId> requests) implements PeerMessage {

    /** Checks and copies the parts. */
    public Missing {
      requireNonNull(pool, "pool");
      requests = List.copyOf(requests);
    }
  }
}
