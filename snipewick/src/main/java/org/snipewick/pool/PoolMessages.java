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
  /** Message types by their names on the wire, which must stay stable. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of(
          "po", Offer.class,
          "pd", Decided.class,
          "pr", Report.class,
          "ph", Heartbeat.class,
          "pm", UnknownRequests.class);

  private PoolMessages() {}

  /**
   * Offer of a request to a scheduler, which sends its decision in a {@link Decided} message.
   *
   * @param work request
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Offer(WorkRequest work) implements PeerMessage {

    /** Requires the request to be non-null. */
    public Offer {
      requireNonNull(work, "work");
    }
  }

  /**
   * Decision of a scheduler about a request, sent to its entry instance.
   *
   * @param pool pool of the request
   * @param decision decision
   * @param endpoint status of the granted endpoint; empty unless it is a grant
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Decided(PoolName pool, Decision decision, Optional<EndpointStatus> endpoint)
      implements PeerMessage {

    /** Requires all components to be non-null. */
    public Decided {
      requireNonNull(pool, "pool");
      requireNonNull(decision, "decision");
      requireNonNull(endpoint, "endpoint");
    }
  }

  /**
   * Report about a waiting or granted request, sent to its scheduler.
   *
   * @param pool pool of the request
   * @param event event that is reported
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Report(PoolName pool, WorkEvent event) implements PeerMessage {

    /** Requires all components to be non-null. */
    public Report {
      requireNonNull(pool, "pool");
      requireNonNull(event, "event");
    }
  }

  /**
   * List of the requests that an entry instance has at a scheduler, sent every 500 ms.
   *
   * @param pool pool of the requests
   * @param incarnation start of the entry instance's process, in milliseconds since the Unix epoch
   * @param waiting sequence numbers of the requests that wait for a decision
   * @param running sequence numbers of the granted requests
   * @param outputTokens number of output tokens so far of each running request, in the same order
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Heartbeat(
      PoolName pool,
      long incarnation,
      List<Long> waiting,
      List<Long> running,
      List<Integer> outputTokens)
      implements PeerMessage {

    /**
     * Requires the pool to be non-null and copies the lists.
     *
     * @throws IllegalArgumentException if {@code running} and {@code outputTokens} differ in length
     */
    public Heartbeat {
      requireNonNull(pool, "pool");
      waiting = List.copyOf(waiting);
      running = List.copyOf(running);
      outputTokens = List.copyOf(outputTokens);
      if (running.size() != outputTokens.size()) {
        throw new IllegalArgumentException("running and outputTokens must have the same length");
      }
    }
  }

  /**
   * Notice to an entry instance that the sender does not have requests, or is not their scheduler.
   *
   * @param pool pool of the requests
   * @param requests requests to be offered again, or reported as adopted if they are granted
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record UnknownRequests(PoolName pool, List<RequestId> requests) implements PeerMessage {

    /** Requires the pool to be non-null and copies the list. */
    public UnknownRequests {
      requireNonNull(pool, "pool");
      requests = List.copyOf(requests);
    }
  }
}
