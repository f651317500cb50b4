package org.snipewick.lease.http;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.ChannelSupplier;
import io.activej.csp.ChannelSuppliers;
import io.activej.eventloop.Eventloop;
import io.activej.http.ContentType;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.MediaTypes;
import io.activej.promise.Promises;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.lease.EndpointOrder;
import org.snipewick.lease.Lease;
import org.snipewick.lease.OrderSender;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.transport.HttpTransport;
import org.snipewick.transport.TransportSettings;

/** Sends orders to endpoints by {@code POST /orders}. Thread-safe. */
public final class HttpOrderSender implements OrderSender {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String PATH = "/orders";
  private static final int STATUS_OK = 200;
  private static final int STATUS_STALE_FENCING_NUMBER = 409;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  private final Eventloop eventloop;
  private final HttpTransport transport;

  private HttpOrderSender(Eventloop eventloop, HttpTransport transport) {
    this.eventloop = eventloop;
    this.transport = transport;
  }

  /**
   * Returns a sender of orders.
   *
   * @param eventloop event loop on which its connections run
   * @return sender
   */
  public static HttpOrderSender of(Eventloop eventloop) {
    requireNonNull(eventloop, "eventloop");
    return new HttpOrderSender(
        eventloop, HttpTransport.of(eventloop, TransportSettings.of(CONNECT_TIMEOUT)));
  }

  @Override
  public CompletableFuture<Void> send(
      EndpointStatus endpoint, EndpointOrder order, Lease lease, Duration timeout) {
    byte[] body = body(order, lease.fencing());
    String url = "http://" + endpoint.host() + ":" + endpoint.port() + PATH;
    CompletableFuture<Void> result = new CompletableFuture<>();
    eventloop.execute(
        () ->
            Promises.timeout(timeout, transport.send(request(url, body, lease)))
                .run(
                    (response, thrown) -> {
                      Optional<Failure> failure =
                          thrown == null ? failureOf(response.getCode()) : failureOf(thrown);
                      failure.ifPresentOrElse(
                          found -> result.completeExceptionally(found.toException()),
                          () -> result.complete(null));
                    }));
    return result;
  }

  private static HttpRequest request(String url, byte[] body, Lease lease) {
    return HttpRequest.post(url)
        .withHeader(HttpHeaders.CONTENT_TYPE, HttpHeaderValue.ofContentType(contentType()))
        .withHeader(HttpHeaders.CONTENT_LENGTH, HttpHeaderValue.ofDecimal(body.length))
        .withBodyStream(leaseCheckedBody(body, lease));
  }

  /**
   * Returns the body in two pieces, each of which is written only if the lease has not expired. The
   * endpoint executes nothing before it has received the last byte. When that byte is written, the
   * connection is open and the classes for writing are loaded, so that little time passes between
   * the last check and the write.
   */
  private static ChannelSupplier<ByteBuf> leaseCheckedBody(byte[] body, Lease lease) {
    int last = body.length - 1;
    return ChannelSuppliers.concat(
        leaseCheckedPiece(ByteBuf.wrap(body, 0, last), lease),
        leaseCheckedPiece(ByteBuf.wrap(body, last, body.length), lease));
  }

  private static ChannelSupplier<ByteBuf> leaseCheckedPiece(ByteBuf piece, Lease lease) {
    return ChannelSupplier.ofLazyProvider(
        () ->
            lease
                .check()
                .map(expired -> ChannelSupplier.<ByteBuf>ofException(expired.toException()))
                .orElseGet(() -> ChannelSupplier.of(piece)));
  }

  private static ContentType contentType() {
    return ContentType.of(MediaTypes.JSON);
  }

  private static byte[] body(EndpointOrder order, long fencing) {
    try {
      return JSON.writeValueAsBytes(new Body(fencing, order.kind().text(), order.argument()));
    } catch (JsonProcessingException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static Optional<Failure> failureOf(int status) {
    return switch (status) {
      case STATUS_OK -> Optional.empty();
      case STATUS_STALE_FENCING_NUMBER ->
          Optional.of(
              Failure.notRun(
                  FailureType.LEASE_NOT_HELD, "endpoint has received a higher fencing number"));
      default ->
          Optional.of(
              Failure.unknown(FailureType.NO_ENDPOINT, "endpoint answered with status " + status));
    };
  }

  private static Optional<Failure> failureOf(Exception thrown) {
    Throwable cause = thrown.getCause() == null ? thrown : thrown.getCause();
    if (cause instanceof FailureException expired) {
      return Optional.of(expired.failure());
    }
    String detail = "order failed: " + thrown;
    return Optional.of(
        cause instanceof ConnectException
            ? Failure.notRun(FailureType.NO_ENDPOINT, detail)
            : Failure.unknown(FailureType.NO_ENDPOINT, detail));
  }

  private record Body(long fencing, String order, String argument) {}
}
