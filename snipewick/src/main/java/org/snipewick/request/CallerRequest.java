package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;

/**
 * HTTP request of a caller as it was received.
 *
 * @param method HTTP method in upper case
 * @param pathAndQuery path, starting with a slash, and query
 * @param headers headers by lower-case name
 * @param body body; not copied, must not be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallerRequest(
    String method, String pathAndQuery, Map<String, String> headers, byte[] body) {

  /** Checks that no component is null and copies the headers. */
  public CallerRequest {
    requireNonNull(method, "method");
    requireNonNull(pathAndQuery, "pathAndQuery");
    requireNonNull(body, "body");
    headers = Map.copyOf(headers);
  }

  /**
   * Returns the value of a header.
   *
   * @param name name in lower case
   * @return value, empty if the header is missing
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /**
   * Returns the path without the query.
   *
   * @return path, starting with a slash
   */
  public String path() {
    int query = pathAndQuery.indexOf('?');
    return query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
  }
}
