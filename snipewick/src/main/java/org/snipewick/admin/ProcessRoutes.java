package org.snipewick.admin;

import static org.snipewick.admin.AdminRoute.forAll;
import static org.snipewick.admin.AdminRoute.forOperators;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Routes of the administrative API for the process: status, health, metrics, timeline, planned
 * stop.
 */
public final class ProcessRoutes {
  private ProcessRoutes() {}

  /**
   * Returns the routes.
   *
   * @param status sources of the members of the status document
   * @param healthy returns whether the load balancer should send callers to this instance
   * @param metrics returns the metrics in the Prometheus text format
   * @param timeline returns the events about a subject, or all events for an empty subject
   * @param stop begins a planned stop; must not block
   * @return routes
   */
  public static List<AdminRoute> of(
      List<StatusSource> status,
      BooleanSupplier healthy,
      Supplier<String> metrics,
      Function<String, ?> timeline,
      Runnable stop) {
    return List.of(
        forAll("GET", "/admin/health", request -> health(healthy.getAsBoolean())),
        forAll("GET", "/admin/metrics", request -> AdminResponse.text(metrics.get())),
        forOperators("GET", "/admin/status", request -> completed(collect(status))),
        forOperators(
            "GET",
            "/admin/timeline",
            request -> completed(timeline.apply(request.parameters().getOrDefault("subject", "")))),
        forOperators(
            "POST",
            "/admin/stop",
            request -> {
              stop.run();
              return completed(Map.of("stopping", true));
            }));
  }

  private static CompletableFuture<AdminResponse> completed(Object value) {
    return CompletableFuture.completedFuture(AdminResponse.json(value));
  }

  private static AdminResponse health(boolean healthy) {
    return AdminResponse.json(Map.of("healthy", healthy)).withStatus(healthy ? 200 : 503);
  }

  private static Map<String, Object> collect(List<StatusSource> sources) {
    Map<String, Object> status = new LinkedHashMap<>();
    sources.forEach(source -> status.put(source.name(), source.value()));
    return status;
  }
}
