package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.snipewick.placement.Ended;
import org.snipewick.placement.PoolPlacement;
import org.snipewick.roster.RosterEndpoint;
import org.snipewick.transport.Exchange;

/** One sending of a request to one endpoint, which takes a place there until it has ended. */
final class RelayAttempt {
  private final RosterEndpoint endpoint;
  private final PoolPlacement placement;
  private final long promptTokens;
  private final long placedNanos;
  private final Exchange exchange = Exchange.of();
  private boolean isPromptRead;
  private boolean hasEnded;

  RelayAttempt(
      RosterEndpoint endpoint, PoolPlacement placement, long promptTokens, long placedNanos) {
    this.endpoint = requireNonNull(endpoint, "endpoint");
    this.placement = requireNonNull(placement, "placement");
    this.promptTokens = promptTokens;
    this.placedNanos = placedNanos;
  }

  RosterEndpoint endpoint() {
    return endpoint;
  }

  Exchange exchange() {
    return exchange;
  }

  /** Notes that the endpoint has read the prompt, as its answer has begun. */
  void promptRead() {
    if (!isPromptRead) {
      isPromptRead = true;
      placement.promptRead(endpoint.id(), promptTokens);
    }
  }

  /** Gives the place back; later calls have no effect. */
  void end(Ended how, long nowNanos) {
    if (!hasEnded) {
      hasEnded = true;
      promptRead();
      placement.end(endpoint.id(), how, placedNanos, nowNanos);
    }
  }

  /** Gives the place back after a whole answer, whose time tells how fast the endpoint is. */
  void answered(boolean isSound, long nowNanos) {
    if (isSound) {
      placement.pace(endpoint.id(), nowNanos - placedNanos);
    }
    end(isSound ? Ended.ANSWERED : Ended.FAILED, nowNanos);
  }

  /** Takes how long each piece of a stream took, if it had enough of them. */
  void streamed(Optional<Double> nanosPerPiece) {
    nanosPerPiece.ifPresent(nanos -> placement.pace(endpoint.id(), nanos));
  }

  /** Closes the connection, which makes the endpoint drop the request, and gives the place back. */
  void cancel(long nowNanos) {
    exchange.cancel();
    end(Ended.CANCELLED, nowNanos);
  }
}
