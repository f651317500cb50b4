package org.snipewick.standins.server;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import java.net.URLDecoder;
import java.util.Optional;

/** A call to a stand-in, with its complete body. */
public final class Call {
  private final HttpRequest request;
  private final byte[] body;
  private final Connection connection;

  Call(HttpRequest request, byte[] body, Connection connection) {
    this.request = requireNonNull(request, "request");
    this.body = requireNonNull(body, "body");
    this.connection = requireNonNull(connection, "connection");
  }

  /**
   * Returns the HTTP method.
   *
   * @return HTTP method
   */
  public HttpMethod method() {
    return request.getMethod();
  }

  /**
   * Returns the path as sent, not decoded.
   *
   * @return path without the query
   */
  public String path() {
    return request.getPath();
  }

  /**
   * Returns the decoded rest of the path after a prefix.
   *
   * @param prefix start of the path
   * @return part after the prefix, decoded; empty if the path does not start with it
   */
  public Optional<String> pathAfter(String prefix) {
    return path().startsWith(prefix)
        ? Optional.of(URLDecoder.decode(path().substring(prefix.length()), UTF_8))
        : Optional.empty();
  }

  /**
   * Returns a query parameter.
   *
   * @param name name of the parameter
   * @return its value, empty if absent
   */
  public Optional<String> query(String name) {
    return Optional.ofNullable(request.getQueryParameter(name));
  }

  /**
   * Returns a header.
   *
   * @param name name of the header
   * @return its value, empty if absent
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(request.getHeader(HttpHeaders.of(name)));
  }

  /**
   * Returns a copy of the body.
   *
   * @return bytes as received
   */
  public byte[] body() {
    return body.clone();
  }

  /**
   * Returns the body as text.
   *
   * @return body decoded as UTF-8
   */
  public String text() {
    return new String(body, UTF_8);
  }

  /**
   * Parses the body as JSON. Unknown properties are an error.
   *
   * @param <T> type of the value
   * @param type type of the value
   * @return parsed body
   * @throws JsonProcessingException if the body is not JSON of this type
   */
  public <T> T json(Class<T> type) throws JsonProcessingException {
    return Responses.JSON.readValue(text(), type);
  }

  /**
   * Returns the connection on which the call was received.
   *
   * @return connection
   */
  public Connection connection() {
    return connection;
  }
}
