package org.snipewick.entry;

import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewick.admin.AdminAnswer;
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

/** Builds the operators' address from the parts of the process. */
final class Administration {
  private static final String METRICS_PATH = "/metrics";

  private Administration() {}

  static AdminServer listen(
      Foundation foundation,
      CatalogueController catalogue,
      Scheduling scheduling,
      OrderDuties orders,
      InFlight inFlight,
      Runnable beginStop) {
    Settings.Operators settings = foundation.settings().operators();
    List<AdminRoute> routes = new ArrayList<>(CatalogueRoutes.of(catalogue));
    routes.addAll(
        ProcessRoutes.of(
            status(foundation, catalogue, scheduling, inFlight),
            inFlight::isHealthy,
            PrometheusText.of(foundation.metrics())::write,
            subject -> timeline(foundation, subject),
            beginStop));
    routes.add(orders.route());
    return AdminServer.listen(
        new InetSocketAddress(settings.host(), settings.port()),
        operators(settings),
        routes,
        foundation.timeline());
  }

  /** Serves the metrics on an address of their own, if the settings name one. */
  static Optional<AdminServer> listenForMetrics(Foundation foundation) {
    PrometheusText text = PrometheusText.of(foundation.metrics());
    AdminRoute route =
        AdminRoute.forAll("GET", METRICS_PATH, request -> AdminAnswer.text(text.write()));
    return foundation
        .settings()
        .metrics()
        .map(address -> new InetSocketAddress(address.host(), address.port()))
        .map(
            address ->
                AdminServer.listen(
                    address, new Operators(List.of()), List.of(route), foundation.timeline()));
  }

  private static Operators operators(Settings.Operators settings) {
    return new Operators(
        settings.accounts().stream()
            .map(account -> new Operators.Operator(account.name(), account.tokenSha256()))
            .toList());
  }

  private static List<StatusSource> status(
      Foundation foundation,
      CatalogueController catalogue,
      Scheduling scheduling,
      InFlight inFlight) {
    return List.of(
        StatusSource.of("instance", foundation.settings()::instance),
        StatusSource.of("failureDomain", foundation.settings()::failureDomain),
        StatusSource.of("healthy", inFlight::isHealthy),
        StatusSource.of("callsInFlight", inFlight::count),
        StatusSource.of("standing", foundation.membership()::hasStanding),
        StatusSource.of("platformAvailable", foundation.platform().health()::isAvailable),
        StatusSource.of("members", () -> members(foundation.membership().view())),
        StatusSource.of("catalogue", catalogue::status),
        StatusSource.of("pools", () -> pools(scheduling)),
        StatusSource.of("peerBytes", () -> traffic(foundation)),
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

  private static Map<String, Long> traffic(Foundation foundation) {
    Map<String, Long> bytes = new LinkedHashMap<>();
    bytes.put("sent", foundation.transport().bytesSent());
    bytes.put("received", foundation.transport().bytesReceived());
    return bytes;
  }

  private static Map<String, List<Event>> timeline(Foundation foundation, String subject) {
    return Map.of(
        "events",
        subject.isEmpty() ? foundation.timeline().all() : foundation.timeline().about(subject));
  }
}
