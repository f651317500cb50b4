package org.snipewick.entry;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.snipewick.admin.AdminServer;
import org.snipewick.catalogue.CatalogueController;
import org.snipewick.event.EventType;
import org.snipewick.event.LogFormat;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.RequestId;
import org.snipewick.limits.LeasedTeamLimits;
import org.snipewick.limits.TeamLimits;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.request.InFlight;
import org.snipewick.request.RequestPipeline;
import org.snipewick.request.RequestServices;
import org.snipewick.request.http.CallerServer;
import org.snipewick.request.http.CallerServerSettings;
import org.snipewick.settings.Settings;
import org.snipewick.store.access.StoreAdapter;
import org.snipewick.time.TimerService;

/** Running process of an entry instance: starts all components and stops them in order. */
public final class EntryProcess {
  /**
   * Covers the five attempts to insert the start marker of the failure domain, each of which waits
   * up to 1 s for the platform.
   */
  private static final Duration START_TIMEOUT = Duration.ofSeconds(7);

  private static final Duration ACTIVE_POLL_PERIOD = Duration.ofMillis(50);

  /** Limits how long a planned stop waits for the handover of idempotency keys and leases. */
  private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(3);

  /** Leaves time to send the departure to the peers before the connections are closed. */
  private static final Duration DEPARTURE_DELAY = Duration.ofMillis(200);

  private final SharedComponents components;
  private final CatalogueController catalogue;
  private final KeyLedgers keyLedgers;
  private final EndpointOrderHandler orderHandler;
  private final InFlight inFlight;
  private final CallerServer callerServer;
  private final AdminServer operatorServer;
  private final Optional<AdminServer> metricsServer;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();

  private EntryProcess(
      SharedComponents components,
      CatalogueController catalogue,
      KeyLedgers keyLedgers,
      Scheduling scheduling)
      throws IOException {
    this.components = components;
    this.catalogue = catalogue;
    this.keyLedgers = keyLedgers;
    this.orderHandler = EndpointOrderHandler.start(components, scheduling.statuses());
    this.inFlight = InFlight.of(components.timer());
    this.callerServer = CallerServer.listen(callerServerDependencies(scheduling));
    this.operatorServer =
        AdminServers.listenForOperators(
            components, catalogue, scheduling, orderHandler, inFlight, this::beginStop);
    this.metricsServer = AdminServers.listenForMetrics(components);
  }

  /**
   * Starts all components, waits up to 7 s until they are ready, and then accepts callers even if
   * they are not.
   *
   * @param settings checked settings
   * @param adapter adapter to the platform's store
   * @return running process
   * @throws org.snipewick.failure.FailureException of {@link FailureType#SETTINGS_INVALID} if an
   *     address cannot be bound
   */
  public static EntryProcess start(Settings settings, StoreAdapter adapter) {
    return start(settings, adapter, UnaryOperator.identity());
  }

  /**
   * Starts all components on a wrapped peer network, as {@link #start(Settings, StoreAdapter)}
   * does.
   *
   * @param settings checked settings
   * @param adapter adapter to the platform's store
   * @param networkFilter wraps the network to the peers; the components use the returned network
   * @return running process
   * @throws org.snipewick.failure.FailureException of {@link FailureType#SETTINGS_INVALID} if an
   *     address cannot be bound
   */
  public static EntryProcess start(
      Settings settings, StoreAdapter adapter, UnaryOperator<PeerNetwork> networkFilter) {
    requireNonNull(settings, "settings");
    requireNonNull(adapter, "adapter");
    requireNonNull(networkFilter, "networkFilter");
    LongSupplier bufferDrops = settings.log().apply();
    SharedComponents components = SharedComponents.start(settings, adapter, networkFilter);
    DroppedLogLinesReporter.start(components, bufferDrops);
    CatalogueController catalogue = catalogue(components);
    KeyLedgers keyLedgers = KeyLedgers.start(components);
    Scheduling scheduling = Scheduling.start(components, catalogue);
    components.membership().setVersionGossip(catalogue);
    components.membership().start();
    CompletableFuture<Void> loaded = catalogue.start();
    awaitIgnoringFailure(
        CompletableFuture.allOf(loaded, keyLedgers.domainStartMarker(), whenActive(components)),
        START_TIMEOUT);
    try {
      EntryProcess process = new EntryProcess(components, catalogue, keyLedgers, scheduling);
      Runtime.getRuntime().addShutdownHook(new Thread(process::stopAndWait, "planned-stop"));
      components.timeline().record(EventType.PROCESS_STARTED, "");
      return process;
    } catch (IOException failure) {
      throw Failure.notRun(FailureType.SETTINGS_INVALID, failure.getMessage()).toException();
    }
  }

  /**
   * Completes once the instance is active. Requests that are accepted earlier wait for it, and may
   * be refused although this instance holds the records of their idempotency keys.
   */
  private static CompletableFuture<Void> whenActive(SharedComponents components) {
    CompletableFuture<Void> active = new CompletableFuture<>();
    TimerService.Subscription poll =
        components
            .timer()
            .every(
                ACTIVE_POLL_PERIOD,
                () -> {
                  if (components.membership().isActive()) {
                    active.complete(null);
                  }
                });
    return active.whenComplete((done, failure) -> poll.cancel());
  }

  private static CatalogueController catalogue(SharedComponents components) {
    return CatalogueController.of(
        components.membership(),
        components.platform().table(),
        components.platform().objects(),
        components.network(),
        components.timer(),
        components.timeline(),
        new SplittableRandom());
  }

  private CallerServer.Dependencies callerServerDependencies(Scheduling scheduling) {
    TeamLimits limits =
        LeasedTeamLimits.start(
            components.membership(), components.network(), components.timer(), catalogue);
    RequestServices services =
        new RequestServices(
            catalogue,
            limits,
            keyLedgers.requestLedger(),
            scheduling.client(),
            components.timer(),
            components.timeline(),
            components.metrics());
    Settings settings = components.settings();
    InetSocketAddress bind =
        new InetSocketAddress(settings.callers().host(), settings.callers().port());
    AtomicLong sequence = new AtomicLong();
    return new CallerServer.Dependencies(
        CallerServerSettings.of(bind)
            .withWorkersAndMaxBodyBytes(
                settings.callers().threads(), settings.callers().maxBodyBytes()),
        RequestPipeline.of(services, inFlight),
        inFlight,
        components.timer(),
        components.timeline(),
        components.metrics(),
        () ->
            RequestId.of(
                settings.instance(), components.incarnation(), sequence.incrementAndGet()));
  }

  /**
   * Returns the address that callers connect to.
   *
   * @return configured host and bound port, as {@code host:port}
   */
  public String callersAddress() {
    return components.settings().callers().host() + ":" + callerServer.port();
  }

  /**
   * Begins a planned stop and returns at once. The instance reports that it is leaving and
   * unhealthy, serves callers until the load balancer sends no more (the configured drain time),
   * lets all requests in flight end, hands over idempotency keys and leases, and departs. Further
   * calls have no effect.
   */
  public void beginStop() {
    if (!stopping.compareAndSet(false, true)) {
      return;
    }
    components.timeline().record(EventType.PROCESS_STOPPING, "");
    components.membership().announceLeaving();
    Duration drain = Duration.ofMillis(components.settings().callers().drainMillis());
    CompletableFuture<Void> unused =
        callerServer
            .stop(drain)
            .thenRunAsync(() -> awaitIgnoringFailure(handOver(), HANDOVER_TIMEOUT))
            .handle((done, failure) -> null)
            .thenRun(this::departMembership);
  }

  private CompletableFuture<Void> handOver() {
    return CompletableFuture.allOf(keyLedgers.handOver(), orderHandler.leases().releaseAll());
  }

  private void departMembership() {
    components.membership().depart();
    components.timer().after(DEPARTURE_DELAY, this::closeComponents);
  }

  private void closeComponents() {
    components.timeline().record(EventType.PROCESS_STOPPED, "");
    catalogue.close();
    operatorServer.close();
    metricsServer.ifPresent(AdminServer::close);
    components.transport().close();
    components.platform().close();
    stopped.complete(null);
  }

  /** Blocks until a planned stop has ended. */
  public void awaitStopped() {
    stopped.join();
  }

  private void stopAndWait() {
    beginStop();
    awaitStopped();
    LogFormat.close();
  }

  /** Waits for a future for a limited time; neither its failure nor the timeout is reported. */
  private static void awaitIgnoringFailure(CompletableFuture<?> future, Duration limit) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    CompletableFuture<Void> unused =
        future.handle((value, failure) -> done.complete(null)).thenAccept(completed -> {});
    done.completeOnTimeout(null, limit.toMillis(), java.util.concurrent.TimeUnit.MILLISECONDS)
        .join();
  }
}
