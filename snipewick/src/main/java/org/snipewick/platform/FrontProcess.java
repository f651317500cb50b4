package org.snipewick.platform;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.snipewick.broker.BrokerMessages;
import org.snipewick.broker.BrokeredPlacer;
import org.snipewick.event.EventType;
import org.snipewick.event.LogFormat;
import org.snipewick.event.Timeline;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.feed.FeedMessages;
import org.snipewick.feed.FeedSchedule;
import org.snipewick.feed.SharedReads;
import org.snipewick.fleet.Fleet;
import org.snipewick.fleet.FleetMember;
import org.snipewick.fleet.FleetMessages;
import org.snipewick.fleet.InstanceRegistration;
import org.snipewick.fleet.ProofExchange;
import org.snipewick.identity.TeamName;
import org.snipewick.memory.MemoryAccount;
import org.snipewick.metrics.PrometheusText;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.peer.tcp.TcpPeerNetwork;
import org.snipewick.quarantine.Quarantine;
import org.snipewick.quota.QuotaMessages;
import org.snipewick.quota.TeamQuotas;
import org.snipewick.registry.EndpointRegistry;
import org.snipewick.relay.HealthServer;
import org.snipewick.relay.RelayDependencies;
import org.snipewick.relay.RelayServer;
import org.snipewick.rollout.RolloutStore;
import org.snipewick.rollout.Rollouts;
import org.snipewick.rollout.TrafficSplit;
import org.snipewick.route.PlanController;
import org.snipewick.route.TeamQuota;
import org.snipewick.store.EraTracker;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.PollSchedule;
import org.snipewick.store.TableMirror;
import org.snipewick.store.access.SingleAttemptStore;
import org.snipewick.time.SystemTimerService;
import org.snipewick.time.TimerService;
import org.snipewick.transport.EventloopTimerService;
import org.snipewick.transport.HttpTransport;
import sun.misc.Signal;

/** Process of an instance on the users' platform; it handles all requests on one event loop. */
public final class FrontProcess {
  /** Number of latest events that the timeline keeps in memory. */
  private static final int MAX_TIMELINE_EVENTS = 4_000;

  /**
   * Maximum time to open a connection to an endpoint. A round trip takes about a millisecond; TCP
   * resends a lost packet only after a second.
   */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  /** Limit of the HTTP client for the bodies of responses from endpoints and the store. */
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  /**
   * Part of the heap, as its divisor, for bodies and events that are kept for callers and
   * endpoints. A buffer that grows takes up to three times the bytes that it holds.
   */
  private static final int HEAP_DIVISOR_FOR_KEPT_BYTES = 5;

  /**
   * Maximum time until a response of the store is complete, in addition to the time for which the
   * store may wait for changes. The store responds within a few milliseconds; a dead connection is
   * detected by this timeout only.
   */
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(800);

  /**
   * Longest time that the store waits for a change before it responds that there is none. Together
   * with {@link #STORE_TIMEOUT} it must be far below the revocation time of API keys.
   */
  private static final Duration MAX_WATCH_WAIT = Duration.ofSeconds(2);

  /**
   * The wait of a reader is half as long as that of other instances: its proof is up to two waits
   * old, and followers are to keep theirs within about three seconds.
   */
  private static final FeedSchedule CONFIGURATION_POLLS =
      new FeedSchedule(new PollSchedule(MAX_WATCH_WAIT, Duration.ZERO), Duration.ofSeconds(1));

  private static final FeedSchedule ENDPOINT_POLLS =
      new FeedSchedule(new PollSchedule(MAX_WATCH_WAIT, Duration.ofMillis(500)), MAX_WATCH_WAIT);

  /** Crashes of endpoints come in series, which all instances record at about the same time. */
  private static final FeedSchedule QUARANTINE_POLLS =
      new FeedSchedule(
          new PollSchedule(Duration.ofSeconds(3), Duration.ofMillis(400)), Duration.ofSeconds(3));

  /**
   * The proof that a phase of a rollout is current must be renewed well within the time in which a
   * rollback must reach all instances; that of a follower is up to 1.5 s old.
   */
  private static final FeedSchedule ROLLOUT_POLLS =
      new FeedSchedule(
          new PollSchedule(Duration.ofSeconds(1), Duration.ZERO), Duration.ofMillis(500));

  /** Late news of a peer delay nothing but the exchange of reports with it. */
  private static final FeedSchedule INSTANCE_POLLS =
      new FeedSchedule(
          new PollSchedule(Duration.ofSeconds(10), Duration.ofSeconds(2)), Duration.ofSeconds(10));

  /**
   * Time by which the maximum age of a proof that the configuration is current is shorter than the
   * revocation time of API keys. Leaves time for one processing step.
   */
  private static final Duration REVOCATION_MARGIN = Duration.ofMillis(300);

  /** Name of the table that holds the operators' configuration. */
  private static final String CONFIGURATION_TABLE = "op";

  /**
   * Time after which the load balancer sends no more requests to an instance that is not ready: it
   * stops after two failed probes, which are a second apart.
   */
  private static final Duration BALANCER_DETECTION_DELAY = Duration.ofMillis(2500);

  /**
   * Parts of the grace period, of which the last one is reserved for the responses to open calls.
   */
  private static final int GRACE_PARTS = 8;

  private static final Duration STOP_POLL_PERIOD = Duration.ofMillis(50);

  private final NodeSettings settings;
  private final Eventloop eventloop;
  private final TimerService timer;
  private final Timeline events;
  private final MetricRegistry metrics = new MetricRegistry();
  private final EraTracker eras;
  private final PlanController plans;
  private final TeamQuotas quotas;
  private final MemoryAccount memory;
  private final Quarantine quarantine;
  private final Optional<Rollouts> rollouts;
  private final SystemTimerService peerTimer = SystemTimerService.of("peers-timer");
  private final RelayServer relay;
  private final EndpointRegistry registry;
  private final SharedReads sharedReads;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private Runnable stopBroker = () -> {};
  private boolean isStopping;

  private FrontProcess(NodeSettings settings, double hedgeShare) throws IOException {
    this.settings = requireNonNull(settings, "settings");
    LogFormat.JSON.apply(LogFormat.LogLevel.INFO);
    eventloop = EventloopTimerService.monotonicEventloop().withCurrentThread();
    eventloop.keepAlive(true);
    timer = EventloopTimerService.of(eventloop);
    events = Timeline.of(settings.instance().value(), timer, MAX_TIMELINE_EVENTS);
    plans = PlanController.of(timer, events, settings.keyRevocation().minus(REVOCATION_MARGIN));
    quotas =
        TeamQuotas.of(
            settings.instance(), settings.quotas(), this::quotaOf, timer, events, metrics);
    eras = EraTracker.of(timer, events);
    HttpTransport transport = HttpTransport.of(eventloop, CONNECT_TIMEOUT, MAX_BODY_BYTES);
    SingleAttemptStore store =
        SingleAttemptStore.of(
            StoreClient.of(
                eventloop,
                Runnable::run,
                transport,
                settings.store(),
                STORE_TIMEOUT,
                eras,
                () -> {}));
    memory =
        MemoryAccount.of(
            Runtime.getRuntime().maxMemory() / HEAP_DIVISOR_FOR_KEPT_BYTES,
            task -> timer.after(Duration.ZERO, task));
    metrics.gauge("held_bytes", () -> memory::heldBytes);
    quarantine = Quarantine.of(settings.instance(), store, timer, events, new SplittableRandom());
    metrics.gauge("quarantined_parts", () -> quarantine::size);
    rollouts =
        settings
            .rollouts()
            .map(
                bounds ->
                    Rollouts.start(
                        settings.instance(),
                        settings.domain(),
                        bounds,
                        new RolloutStore(store, store, store),
                        timer,
                        events,
                        metrics,
                        new SplittableRandom()));
    relay =
        RelayServer.listen(eventloop, settings.callers(), relayDependencies(transport, hedgeShare));
    registry =
        EndpointRegistry.of(
            timer,
            events,
            endpoints -> {
              rollouts.ifPresent(present -> present.setEndpoints(endpoints));
              relay.updateEndpoints(endpoints);
            });
    relay.onDepartureAnnounced(registry::onDepartureAnnounced);
    PrometheusText prometheus = PrometheusText.of(metrics);
    HealthServer.listen(eventloop, settings.health(), this::isReady, prometheus::write);
    sharedReads = SharedReads.of(store, timer, events, metrics);
    startMirrors(store);
  }

  /**
   * Runs a process until it is stopped; the calling thread runs its event loop.
   *
   * @param file settings file
   * @param remoteCostFactor factor by which endpoints in other failure domains cost more than those
   *     in the own one, at least 1
   * @param hedgeShare maximum share of a pool's requests that are hedged, 0 for none
   * @throws org.snipewick.failure.FailureException with {@link FailureType#SETTINGS_INVALID} if the
   *     settings are invalid or an address cannot be bound
   */
  public static void run(Path file, double remoteCostFactor, double hedgeShare) {
    NodeSettings settings = NodeSettings.read(file);
    try {
      FrontProcess process = new FrontProcess(settings, hedgeShare);
      process.relay.localPlacer().setRemoteCostFactor(remoteCostFactor);
      Runtime.getRuntime().addShutdownHook(new Thread(process::stopAndWait, "planned-stop"));
      Signal.handle(
          new Signal("HUP"), signal -> process.eventloop.execute(() -> process.reload(file)));
      process.events.record(EventType.PROCESS_STARTED, "");
      process.eventloop.run();
    } catch (IOException failure) {
      throw Failure.notRun(FailureType.SETTINGS_INVALID, String.valueOf(failure.getMessage()))
          .toException();
    }
  }

  private RelayDependencies relayDependencies(HttpTransport transport, double hedgeShare) {
    return new RelayDependencies(
        settings.domain(),
        plans,
        quotas,
        quarantine,
        rollouts.<TrafficSplit>map(present -> present).orElse(TrafficSplit.NONE),
        transport,
        memory,
        PlatformHeaders.NAMES,
        new RelayDependencies.RetryBudgetSettings(
            settings.retriesPerRequest(),
            settings.additionalRetries(),
            settings.retryWindow(),
            hedgeShare),
        timer,
        events,
        metrics,
        new SplittableRandom());
  }

  private void startMirrors(SingleAttemptStore store) {
    ConfigurationListener configuration = new ConfigurationListener(plans, events);
    List<MirrorListener> listeners = new ArrayList<>(List.of(configuration));
    rollouts.ifPresent(present -> listeners.add(new RolloutOrderListener(present, events)));
    startMirror(CONFIGURATION_TABLE, CONFIGURATION_POLLS, MirrorListener.ofAll(listeners));
    rollouts.ifPresent(
        present -> startMirror(Rollouts.RECORD_TABLE, ROLLOUT_POLLS, present.recordListener()));
    startMirror(
        PlatformStoreAdapter.ENDPOINT_TABLE,
        ENDPOINT_POLLS,
        new EndpointRowListener(registry, events));
    startMirror(Quarantine.TABLE, QUARANTINE_POLLS, quarantine);
    FleetMember self =
        new FleetMember(settings.instance(), settings.domain(), settings.peers(), settings.cores());
    CompletableFuture<Void> unused =
        InstanceRegistration.start(store, self, timer, events, new SplittableRandom(), eras)
            .thenAccept(incarnation -> joinFleet(self, store, incarnation, configuration));
  }

  private TeamQuota quotaOf(TeamName team) {
    return plans.current().map(plan -> plan.quotaOf(team)).orElse(TeamQuota.UNLIMITED);
  }

  private void startMirror(String table, FeedSchedule schedule, MirrorListener listener) {
    TableMirror.start(
        sharedReads.feed(table, schedule),
        table,
        schedule.polls().withoutPause(),
        timer,
        events,
        new SplittableRandom(),
        listener);
  }

  /** Connects to the peers once the store has assigned this process its incarnation. */
  private void joinFleet(
      FleetMember self,
      SingleAttemptStore store,
      long incarnation,
      ConfigurationListener configuration) {
    PeerNetwork network =
        TcpPeerNetwork.listen(
            settings.instance(),
            incarnation,
            settings.peers(),
            PeerCodec.ofAll(
                FleetMessages.MESSAGE_TYPES,
                QuotaMessages.MESSAGE_TYPES,
                BrokerMessages.MESSAGE_TYPES,
                FeedMessages.MESSAGE_TYPES),
            peerTimer,
            events,
            new SplittableRandom());
    quotas.join(network, eventloop, store, store, incarnation, eras);
    BrokeredPlacer placer =
        BrokeredPlacer.start(
            self,
            relay.localPlacer(),
            network,
            eventloop,
            timer,
            events,
            metrics,
            new SplittableRandom());
    relay.setPlacer(placer);
    stopBroker = placer::stop;
    sharedReads.join(network, eventloop);
    PeerReports reports = new PeerReports(self, quotas, relay, placer, sharedReads, rollouts);
    Fleet fleet = Fleet.start(self, network, eventloop, timer, events, reports::report, reports);
    startMirror(FleetMember.TABLE, INSTANCE_POLLS, fleet);
    configuration.setProofExchange(
        ProofExchange.start(
            network, eventloop, timer, plans, fleet::peers, new SplittableRandom()));
  }

  private boolean isReady() {
    return !isStopping
        && plans.hasFreshProof()
        && relay.hasAcceptingEndpoint()
        && quarantine.isLoaded()
        && rollouts.map(Rollouts::isLoaded).orElse(true)
        && quotas.isReady();
  }

  /**
   * Reads the settings file again and records whether the settings have changed. Changes take
   * effect at the next start, as addresses and bounds are fixed while a process runs. Without this
   * handler, the signal would end the process.
   */
  private void reload(Path file) {
    try {
      boolean isChanged = !NodeSettings.read(file).equals(settings);
      events.record(EventType.SETTINGS_RELOADED, "", Map.of("isChanged", isChanged));
    } catch (FailureException failure) {
      events.record(EventType.SETTINGS_RELOADED, "", Map.of("detail", failure.failure().detail()));
    }
  }

  /**
   * Begins a planned stop on the event loop and waits until it has ended or the grace period is
   * over. Runs in the shutdown hook.
   */
  private void stopAndWait() {
    eventloop.execute(this::beginStop);
    try {
      if (!stopped.await(settings.stopGrace().toMillis(), TimeUnit.MILLISECONDS)) {
        events.record(EventType.INTERNAL_ERROR, "instance did not stop within the grace period");
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    LogFormat.close();
  }

  private void beginStop() {
    isStopping = true;
    events.record(EventType.PROCESS_STOPPING, "");
    Duration lastPart = settings.stopGrace().dividedBy(GRACE_PARTS);
    Duration callsEnd = settings.stopGrace().minus(lastPart);
    relay.beginStop(callsEnd);
    stopBroker.run();
    quotas.release();
    timer.after(BALANCER_DETECTION_DELAY, this::endWhenIdle);
    timer.after(callsEnd, relay::endAllCalls);
    timer.after(callsEnd.plus(lastPart.dividedBy(2)), this::endStop);
  }

  private void endWhenIdle() {
    relay.refuseNewRequests();
    if (relay.isIdle()) {
      endStop();
    } else {
      timer.after(STOP_POLL_PERIOD, this::endWhenIdle);
    }
  }

  private void endStop() {
    if (stopped.getCount() > 0) {
      relay.close();
      events.record(EventType.PROCESS_STOPPED, "");
      stopped.countDown();
    }
  }
}
