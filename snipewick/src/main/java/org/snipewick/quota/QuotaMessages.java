package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Map;
import org.snipewick.peer.PeerMessage;

/** Messages between instances that need part of a limit and the holders of its slots. */
public final class QuotaMessages {
  /** Message types by their names on the wire, which must stay stable. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of(
          "qa", Ask.class,
          "qg", Grant.class,
          "qe", PermitAsk.class,
          "qp", PermitReply.class);

  private QuotaMessages() {}

  /**
   * Request for a grant.
   *
   * @param key key of the limit
   * @param amount wanted amount, in the unit of the limit
   * @param minimum smallest amount that is of use
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Ask(String key, double amount, double minimum) implements PeerMessage {

    /** Checks that the key is not null. */
    public Ask {
      requireNonNull(key, "key");
    }
  }

  /**
   * Request for a permit to send one request to an endpoint with a limit.
   *
   * @param endpoint name of the endpoint
   * @param slot slot out of which the permit is to be granted
   * @param requestsPerSecond limit, as the holder may not know it
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record PermitAsk(String endpoint, int slot, double requestsPerSecond)
      implements PeerMessage {

    /** Checks that the endpoint is not null. */
    public PermitAsk {
      requireNonNull(endpoint, "endpoint");
    }
  }

  /**
   * Reply to a {@link PermitAsk}.
   *
   * @param isGranted whether the permit is granted
   * @param retryAfterMillis time after which one may be granted, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record PermitReply(boolean isGranted, long retryAfterMillis) implements PeerMessage {}

  /**
   * Reply to an {@link Ask}.
   *
   * @param amount granted amount; 0 if less than the minimum is free
   * @param free amount that the holder could still grant
   * @param retryAfterMillis time after which the wanted amount may be free, in milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Grant(double amount, double free, long retryAfterMillis) implements PeerMessage {}
}
