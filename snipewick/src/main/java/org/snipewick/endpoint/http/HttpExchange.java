package org.snipewick.endpoint.http;

import io.activej.async.exception.AsyncCloseException;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.ChannelSupplier;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.snipewick.endpoint.EndpointResponse;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.transport.Exchange;

/** State of one request to an endpoint. Used on one event loop only. */
final class HttpExchange {
  private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";
  private static final int SERVICE_UNAVAILABLE = 503;

  private final Exchange exchange = Exchange.of();
  private boolean cancelled;
  private ChannelSupplier<ByteBuf> body;

  /** Returns the exchange of the connection. */
  Exchange transportExchange() {
    return exchange;
  }

  /** Returns whether the exchange was cancelled. */
  boolean isCancelled() {
    return cancelled;
  }

  /** Closes the body of the response, and with it the connection, now or when it is taken. */
  void cancel() {
    cancelled = true;
    if (body != null) {
      body.closeEx(new AsyncCloseException("cancelled"));
    }
  }

  /** Returns the body of a response, which is closed if the exchange was cancelled. */
  ChannelSupplier<ByteBuf> takeBody(HttpResponse response) {
    body = response.takeBodyStream();
    if (cancelled) {
      cancel();
    }
    return body;
  }

  /**
   * Returns the failure for an exception of the HTTP client. Its outcome is unknown if a connection
   * was made, as the request may have been sent.
   */
  Failure toFailure(Exception thrown) {
    return exchange.mayHaveBeenSent()
        ? Failure.unknown(
            FailureType.ANSWER_INCOMPLETE, "connection failed during the exchange: " + thrown)
        : Failure.notRun(FailureType.ENDPOINT_REFUSED, "cannot connect to endpoint: " + thrown);
  }

  /** Returns whether the endpoint rejected the request before running it. */
  static boolean isRejection(HttpResponse response) {
    return response.getCode() == SERVICE_UNAVAILABLE
        && "true".equalsIgnoreCase(response.getHeader(EndpointHeaders.NOT_RUN));
  }

  /** Returns whether the end of the response can be distinguished from a broken connection. */
  static boolean isDelimited(HttpResponse response) {
    return response.getHeader(HttpHeaders.CONTENT_LENGTH) != null
        || response.getHeader(HttpHeaders.TRANSFER_ENCODING) != null
        || response.getCode() == 204
        || response.getCode() == 304;
  }

  /**
   * Returns a response with the given body, and the status and content type of an HTTP response.
   */
  static EndpointResponse toResponse(HttpResponse response, byte[] content) {
    String type = response.getHeader(HttpHeaders.CONTENT_TYPE);
    return new EndpointResponse(
        response.getCode(), type == null ? DEFAULT_CONTENT_TYPE : type, content);
  }
}
