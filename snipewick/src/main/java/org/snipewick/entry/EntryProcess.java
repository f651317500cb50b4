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
import org.snipewick.request.RequestPath;
import org.snipewick.request.RequestServices;
import org.snipewick.request.http.CallerServer;
import org.snipewick.request.http.CallerServerSettings;
import org.snipewick.settings.Settings;
import org.snipewick.store.access.StoreAdapter;
import org.snipewick.time.TimerService;

/** Running process of an entry instance. */
public final class EntryProcess {
  /** Covers the five attempts of a first write, each of which waits for the platform for 1 s. */
  private static final Duration START_TIMEOUT = Duration.ofSeconds(7);

  private static final Duration STANDING_POLL = Duration.ofMillis(50);
  private static final Duration HAND_OVER_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration DEPARTURE_DELAY = Duration.ofMillis(200);

  private final Foundation foundation;
  private final CatalogueController catalogue;
  private final KeyMemory keys;
  private final OrderDuties orders;
  private final InFlight inFlight;
  private final CallerServer callers;
  private final AdminServer operators;
  private final Optional<AdminServer> metrics;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();

  private EntryProcess(
      Foundation foundation, CatalogueController catalogue, KeyMemory keys, Scheduling scheduling)
      throws IOException {
    this.foundation = foundation;
    this.catalogue = catalogue;
    this.keys = keys;
    this.orders = OrderDuties.start(foundation, scheduling.statuses());
    this.inFlight = InFlight.of(foundation.timer());
    this.callers = CallerServer.listen(callerParts(scheduling));
    this.operators =
        Administration.listen(foundation, catalogue, scheduling, orders, inFlight, this::beginStop);
    this.metrics = Administration.listenForMetrics(foundation);
  }

  /**
   * Starts all parts.
   *
   * @param settings checked settings
   * @param adapter adapter to the platform
   * @return running process; fails with {@link FailureType#SETTINGS_INVALID} if an address cannot
   *     be bound
   */
  public static EntryProcess start(Settings settings, StoreAdapter adapter) {
    return start(settings, adapter, UnaryOperator.identity());
  }

  /**
   * Starts all parts on a network of one's own choice.
   *
   * @param settings checked settings
   * @param adapter adapter to the platform
   * @param networkFilter wraps the network to other instances
   * @return running process; fails with {@link FailureType#SETTINGS_INVALID} if an address cannot
   *     be bound
   */
  public static EntryProcess start(
      Settings settings, StoreAdapter adapter, UnaryOperator<PeerNetwork> networkFilter) {
    requireNonNull(settings, "settings");
    requireNonNull(adapter, "adapter");
    requireNonNull(networkFilter, "networkFilter");
    LongSupplier unreadLines = settings.log().apply();
    Foundation foundation = Foundation.start(settings, adapter, networkFilter);
    DroppedLines.watch(foundation, unreadLines);
    CatalogueController catalogue = catalogue(foundation);
    KeyMemory keys = KeyMemory.start(foundation);
    Scheduling scheduling = Scheduling.start(foundation, catalogue);
    foundation.membership().carry(catalogue);
    foundation.membership().start();
    CompletableFuture<Void> loaded = catalogue.start();
    awaitQuietly(
        CompletableFuture.allOf(loaded, keys.presence(), standing(foundation)), START_TIMEOUT);
    try {
      EntryProcess process = new EntryProcess(foundation, catalogue, keys, scheduling);
      Runtime.getRuntime().addShutdownHook(new Thread(process::stopAndWait, "planned-stop"));
      foundation.timeline().record(EventType.PROCESS_STARTED, "");
      return process;
    } catch (IOException failure) {
      throw Failure.notRun(FailureType.SETTINGS_INVALID, failure.getMessage()).toException();
    }
  }

  /**
   * Completes once the instance has standing. Callers that are let in earlier wait for it, and may
   * be refused for keys that are remembered here.
   */
  private static CompletableFuture<Void> standing(Foundation foundation) {
    CompletableFuture<Void> gained = new CompletableFuture<>();
    TimerService.Subscription poll =
        foundation
            .timer()
            .every(
                STANDING_POLL,
                () -> {
                  if (foundation.membership().hasStanding()) {
                    gained.complete(null);
                  }
                });
    return gained.whenComplete((done, failure) -> poll.cancel());
  }

  private static CatalogueController catalogue(Foundation foundation) {
    return CatalogueController.of(
        foundation.membership(),
        foundation.platform().table(),
        foundation.platform().objects(),
        foundation.network(),
        foundation.timer(),
        foundation.timeline(),
        new SplittableRandom());
  }

  private CallerServer.Parts callerParts(Scheduling scheduling) {
    TeamLimits limits =
        LeasedTeamLimits.start(
            foundation.membership(), foundation.network(), foundation.timer(), catalogue);
    RequestServices services =
        new RequestServices(
            catalogue,
            limits,
            keys.ledger(),
            scheduling.client(),
            foundation.timer(),
            foundation.timeline(),
            foundation.metrics());
    Settings settings = foundation.settings();
    InetSocketAddress bind =
        new InetSocketAddress(settings.callers().host(), settings.callers().port());
    AtomicLong sequence = new AtomicLong();
    return new CallerServer.Parts(
        CallerServerSettings.of(bind)
            .withSizes(settings.callers().threads(), settings.callers().maxBodyBytes()),
        RequestPath.of(services, inFlight),
        inFlight,
        foundation.timer(),
        foundation.timeline(),
        () ->
            RequestId.of(
                settings.instance(), foundation.incarnation(), sequence.incrementAndGet()));
  }

  /**
   * Returns where callers connect.
   *
   * @return host and port
   */
  public String callersAddress() {
    return foundation.settings().callers().host() + ":" + callers.port();
  }

  /** Begins a planned stop: what is in flight is finished, nothing is cut. */
  public void beginStop() {
    if (!stopping.compareAndSet(false, true)) {
      return;
    }
    foundation.timeline().record(EventType.PROCESS_STOPPING, "");
    foundation.membership().announceLeaving();
    Duration drain = Duration.ofMillis(foundation.settings().callers().drainMillis());
    CompletableFuture<Void> unused =
        callers
            .stop(drain)
            .thenRunAsync(() -> awaitQuietly(handOver(), HAND_OVER_TIMEOUT))
            .handle((done, failure) -> null)
            .thenRun(this::leave);
  }

  private CompletableFuture<Void> handOver() {
    return CompletableFuture.allOf(keys.handOver(), orders.leases().giveUpAll());
  }

  private void leave() {
    foundation.membership().depart();
    foundation.timer().after(DEPARTURE_DELAY, this::finish);
  }

  private void finish() {
    foundation.timeline().record(EventType.PROCESS_STOPPED, "");
    catalogue.close();
    operators.close();
    metrics.ifPresent(AdminServer::close);
    foundation.transport().close();
    foundation.platform().close();
    stopped.complete(null);
  }

  /** Waits until a planned stop is over. */
  public void awaitStopped() {
    stopped.join();
  }

  private void stopAndWait() {
    beginStop();
    awaitStopped();
    LogFormat.close();
  }

  private static void awaitQuietly(CompletableFuture<?> future, Duration limit) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    CompletableFuture<Void> unused =
        future.handle((value, failure) -> done.complete(null)).thenAccept(completed -> {});
    done.completeOnTimeout(null, limit.toMillis(), java.util.concurrent.TimeUnit.MILLISECONDS)
        .join();
  }
}
