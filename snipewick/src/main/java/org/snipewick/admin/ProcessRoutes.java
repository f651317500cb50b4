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

/** Routes about the process: status, health, metrics, time line, planned stop. */
public final class ProcessRoutes {
  private ProcessRoutes() {}

  /**
   * Returns the routes.
   *
   * @param status what the parts contribute to the status
   * @param healthy whether the balancer should send callers here
   * @param metrics gives the metrics in the Prometheus text format
   * @param timeline gives the events about a subject, or all for an empty one
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
        forAll("GET", "/admin/metrics", request -> AdminAnswer.text(metrics.get())),
        forOperators("GET", "/admin/status", request -> answer(collect(status))),
        forOperators(
            "GET",
            "/admin/timeline",
            request -> answer(timeline.apply(request.parameters().getOrDefault("subject", "")))),
        forOperators(
            "POST",
            "/admin/stop",
            request -> {
              stop.run();
              return answer(Map.of("stopping", true));
            }));
  }

  private static CompletableFuture<AdminAnswer> answer(Object value) {
    return CompletableFuture.completedFuture(AdminAnswer.json(value));
  }

  private static AdminAnswer health(boolean healthy) {
    return AdminAnswer.json(Map.of("healthy", healthy)).withStatus(healthy ? 200 : 503);
  }

  private static Map<String, Object> collect(List<StatusSource> sources) {
    Map<String, Object> status = new LinkedHashMap<>();
    sources.forEach(source -> status.put(source.name(), source.value()));
    return status;
  }
}
