package org.snipewick.entry;

import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewick.admin.AdminResponse;
import org.snipewick.admin.AdminRoute;
import org.snipewick.admin.AdminServer;
import org.snipewick.admin.CatalogueRoutes;
import org.snipewick.admin.Operators;
import org.snipewick.admin.ProcessRoutes;
import org.snipewick.admin.StatusSource;
import org.snipewick.catalogue.CatalogueController;
import org.snipewick.event.Event;
import org.snipewick.membership.MembershipView;
import org.snipewick.metrics.PrometheusText;
import org.snipewick.request.InFlight;
import org.snipewick.settings.Settings;

/**
 * Starts the administrative HTTP servers of the process: the one for operators and, if configured,
 * the one for metrics.
 */
final class AdminServers {
  private static final String METRICS_PATH = "/metrics";

  private AdminServers() {}

  /**
   * Starts the server of the administrative API.
   *
   * @param beginStop begins a planned stop; must not block
   * @throws org.snipewick.failure.FailureException of {@link
   *     org.snipewick.failure.FailureType#SETTINGS_INVALID} if the address cannot be bound
   */
  static AdminServer listenForOperators(
      SharedComponents components,
      CatalogueController catalogue,
      Scheduling scheduling,
      EndpointOrderHandler orderHandler,
      InFlight inFlight,
      Runnable beginStop) {
    Settings.Operators settings = components.settings().operators();
    List<AdminRoute> routes = new ArrayList<>(CatalogueRoutes.of(catalogue));
    routes.addAll(
        ProcessRoutes.of(
            statusSources(components, catalogue, scheduling, inFlight),
            inFlight::isHealthy,
            PrometheusText.of(components.metrics())::write,
            subject -> timeline(components, subject),
            beginStop));
    routes.add(orderHandler.route());
    return AdminServer.listen(
        new InetSocketAddress(settings.host(), settings.port()),
        operators(settings),
        routes,
        components.timeline());
  }

  /**
   * Starts a server that serves only the metrics and needs no credentials, if the settings name an
   * address for it.
   */
  static Optional<AdminServer> listenForMetrics(SharedComponents components) {
    PrometheusText text = PrometheusText.of(components.metrics());
    AdminRoute route =
        AdminRoute.forAll("GET", METRICS_PATH, request -> AdminResponse.text(text.write()));
    return components
        .settings()
        .metrics()
        .map(address -> new InetSocketAddress(address.host(), address.port()))
        .map(
            address ->
                AdminServer.listen(
                    address, new Operators(List.of()), List.of(route), components.timeline()));
  }

  private static Operators operators(Settings.Operators settings) {
    return new Operators(
        settings.accounts().stream()
            .map(account -> new Operators.Operator(account.name(), account.tokenSha256()))
            .toList());
  }

  private static List<StatusSource> statusSources(
      SharedComponents components,
      CatalogueController catalogue,
      Scheduling scheduling,
      InFlight inFlight) {
    return List.of(
        StatusSource.of("instance", components.settings()::instance),
        StatusSource.of("failureDomain", components.settings()::failureDomain),
        StatusSource.of("healthy", inFlight::isHealthy),
        StatusSource.of("callsInFlight", inFlight::count),
        StatusSource.of("standing", components.membership()::isActive),
        StatusSource.of("platformAvailable", components.platform().health()::isAvailable),
        StatusSource.of("members", () -> members(components.membership().view())),
        StatusSource.of("catalogue", catalogue::status),
        StatusSource.of("pools", () -> pools(scheduling)),
        StatusSource.of("peerBytes", () -> peerBytes(components)),
        StatusSource.of(
            "heapBytes", () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()));
  }

  private static Map<String, String> members(MembershipView view) {
    Map<String, String> states = new TreeMap<>();
    view.members().forEach((id, member) -> states.put(id.value(), member.state().name()));
    return states;
  }

  private static Map<String, Object> pools(Scheduling scheduling) {
    Map<String, Object> summaries = new TreeMap<>();
    scheduling
        .controller()
        .summaries()
        .forEach((pool, summary) -> summaries.put(pool.value(), summary));
    return summaries;
  }

  private static Map<String, Long> peerBytes(SharedComponents components) {
    Map<String, Long> bytes = new LinkedHashMap<>();
    bytes.put("sent", components.transport().bytesSent());
    bytes.put("received", components.transport().bytesReceived());
    return bytes;
  }

  private static Map<String, List<Event>> timeline(SharedComponents components, String subject) {
    return Map.of(
        "events",
        subject.isEmpty() ? components.timeline().all() : components.timeline().about(subject));
  }
}
