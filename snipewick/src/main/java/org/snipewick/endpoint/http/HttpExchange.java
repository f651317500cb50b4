package org.snipewick.endpoint.http;

import io.activej.async.exception.AsyncCloseException;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.ChannelSupplier;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import org.snipewick.endpoint.EndpointAnswer;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;

/** State of one request to an endpoint; used on one event loop only. */
final class HttpExchange {
  private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";
  private static final int SERVICE_UNAVAILABLE = 503;

  private boolean connected;
  private boolean cancelled;
  private ChannelSupplier<ByteBuf> body;

  static HttpExchange attachedTo(HttpRequest request) {
    HttpExchange exchange = new HttpExchange();
    request.attach(HttpExchange.class, exchange);
    return exchange;
  }

  /** Notes that a connection was made, after which anything may have been written. */
  void markConnected() {
    connected = true;
  }

  boolean isCancelled() {
    return cancelled;
  }

  /** Closes the connection, now or as soon as its answer begins. */
  void cancel() {
    cancelled = true;
    if (body != null) {
      body.closeEx(new AsyncCloseException("cancelled"));
    }
  }

  /** Takes the body of an answer; a cancelled exchange closes it. */
  ChannelSupplier<ByteBuf> takeBody(HttpResponse response) {
    body = response.takeBodyStream();
    if (cancelled) {
      cancel();
    }
    return body;
  }

  /** Classifies an exception of the client by whether anything may have been written. */
  Failure failureOf(Exception thrown) {
    return connected
        ? Failure.unknown(FailureType.ANSWER_INCOMPLETE, "connection broke: " + thrown)
        : Failure.notRun(
            FailureType.ENDPOINT_REFUSED, "endpoint could not be connected: " + thrown);
  }

  static boolean isRefusal(HttpResponse response) {
    return response.getCode() == SERVICE_UNAVAILABLE
        && "true".equalsIgnoreCase(response.getHeader(HttpNames.NOT_RUN));
  }

  /** Tells whether the end of the answer can be told from a connection that broke. */
  static boolean isDelimited(HttpResponse response) {
    return response.getHeader(HttpHeaders.CONTENT_LENGTH) != null
        || response.getHeader(HttpHeaders.TRANSFER_ENCODING) != null
        || response.getCode() == 204
        || response.getCode() == 304;
  }

  static EndpointAnswer answerOf(HttpResponse response, byte[] content) {
    String type = response.getHeader(HttpHeaders.CONTENT_TYPE);
    return new EndpointAnswer(
        response.getCode(), type == null ? DEFAULT_CONTENT_TYPE : type, content);
  }
}
