package org.snipewick.request.http;

import io.activej.http.HttpMethod;
import java.util.EnumSet;
import java.util.stream.Collectors;

/** HTTP methods that the server for callers allows on each path, as {@code Allow} header values. */
final class AllowedMethods {
  private static final String COMPLETIONS_PATH = "/v1/chat/completions";
  private static final String SERVICES_PATH = "/services/";
  private static final String SERVICE_METHODS =
      EnumSet.complementOf(EnumSet.of(HttpMethod.HEAD, HttpMethod.CONNECT, HttpMethod.TRACE))
          .stream()
          .map(HttpMethod::name)
          .collect(Collectors.joining(", "));

  private AllowedMethods() {}

  /** Returns the methods allowed on a path, separated by commas. */
  static String forPath(String path) {
    if (path.startsWith(SERVICES_PATH)) {
      return SERVICE_METHODS;
    }
    return path.equals(COMPLETIONS_PATH) ? "POST" : "GET, HEAD";
  }

  /** Returns the methods that are forwarded to services, separated by commas. */
  static String forServices() {
    return SERVICE_METHODS;
  }
}
