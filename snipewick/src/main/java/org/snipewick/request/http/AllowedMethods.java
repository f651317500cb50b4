package org.snipewick.request.http;

import io.activej.http.HttpMethod;
import java.util.EnumSet;
import java.util.stream.Collectors;

/** Methods that the paths of the callers' front offer, as given by the header {@code Allow}. */
final class AllowedMethods {
  private static final String COMPLETIONS_PATH = "/v1/chat/completions";
  private static final String SERVICES_PATH = "/services/";
  private static final String OF_SERVICES =
      EnumSet.complementOf(EnumSet.of(HttpMethod.HEAD, HttpMethod.CONNECT, HttpMethod.TRACE))
          .stream()
          .map(HttpMethod::name)
          .collect(Collectors.joining(", "));

  private AllowedMethods() {}

  /** Returns the methods of a path. */
  static String of(String path) {
    if (path.startsWith(SERVICES_PATH)) {
      return OF_SERVICES;
    }
    return path.equals(COMPLETIONS_PATH) ? "POST" : "GET, HEAD";
  }

  /** Returns the methods that may reach plain services. */
  static String ofServices() {
    return OF_SERVICES;
  }
}
