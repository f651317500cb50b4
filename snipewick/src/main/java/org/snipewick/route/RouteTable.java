package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Index of routes by host and longest path prefix. Immutable. */
public final class RouteTable {
  private final Map<String, Map<String, Route>> byHostAndPrefix;

  private RouteTable(Map<String, Map<String, Route>> byHostAndPrefix) {
    this.byHostAndPrefix = byHostAndPrefix;
  }

  /**
   * Creates a table.
   *
   * @param routes routes; of several with the same host and prefix the first one is used
   * @return table
   */
  public static RouteTable of(List<Route> routes) {
    requireNonNull(routes, "routes");
    Map<String, Map<String, Route>> table = new HashMap<>();
    for (Route route : routes) {
      table
          .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
          .putIfAbsent(route.prefix(), route);
    }
    return new RouteTable(table);
  }

  /**
   * Finds the route of a request.
   *
   * @param host value of the Host header, with or without the port, in any case
   * @param path path of the request without the query
   * @return route of the host with the longest prefix that the path begins with; empty if there is
   *     none
   */
  public Optional<Route> find(String host, String path) {
    requireNonNull(path, "path");
    Map<String, Route> routes = byHostAndPrefix.get(withoutPort(host).toLowerCase(Locale.ROOT));
    if (routes == null) {
      return Optional.empty();
    }
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      Route route = routes.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
      if (end == 0) {
        break;
      }
    }
    return Optional.empty();
  }

  private static String withoutPort(String host) {
    int colon = requireNonNull(host, "host").lastIndexOf(':');
    return colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
  }
}
