package org.snipewick.entry;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.snipewick.catalogue.CatalogueMessages;
import org.snipewick.discovery.DiscoveryMessages;
import org.snipewick.event.Timeline;
import org.snipewick.idempotency.IdempotencyMessages;
import org.snipewick.limits.LimitMessages;
import org.snipewick.membership.Member;
import org.snipewick.membership.MembershipController;
import org.snipewick.membership.MembershipMessages;
import org.snipewick.membership.MembershipSettings;
import org.snipewick.membership.MembershipView;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.peer.tcp.TcpPeerNetwork;
import org.snipewick.pool.PoolMessages;
import org.snipewick.settings.Settings;
import org.snipewick.store.ListedInstance;
import org.snipewick.store.access.StoreAccess;
import org.snipewick.store.access.StoreAdapter;
import org.snipewick.store.access.StoreSettings;
import org.snipewick.store.access.WriteShares;
import org.snipewick.time.SystemTimerService;
import org.snipewick.writer.WriterMessages;

/**
 * Components that all other components of the process use.
 *
 * @param settings checked settings
 * @param incarnation start of the process, in milliseconds since the Unix epoch
 * @param timer source of time; controllers access their state on its thread only
 * @param timeline event log of the process
 * @param metrics metrics of the instance
 * @param platform access to the platform's store
 * @param writeShares current shares of this instance in the platform's rate of writes
 * @param transport TCP connections to the peers
 * @param network the transport, possibly wrapped, as the components use it
 * @param membership instances that are alive
 */
record SharedComponents(
    Settings settings,
    long incarnation,
    SystemTimerService timer,
    Timeline timeline,
    MetricRegistry metrics,
    StoreAccess platform,
    Supplier<WriteShares> writeShares,
    TcpPeerNetwork transport,
    PeerNetwork network,
    MembershipController membership) {
  private static final int MAX_TIMELINE_EVENTS = 20_000;

  SharedComponents {
    requireNonNull(settings, "settings");
  }

  static SharedComponents start(
      Settings settings, StoreAdapter adapter, UnaryOperator<PeerNetwork> networkFilter) {
    SystemTimerService timer = SystemTimerService.of("control");
    long incarnation = timer.epochMillis();
    Timeline timeline = Timeline.of(settings.instance().value(), timer, MAX_TIMELINE_EVENTS);
    StoreSettings storeSettings = storeSettings(settings);
    AtomicReference<WriteShares> writeShares =
        new AtomicReference<>(WriteShares.withoutWriters(storeSettings, 1));
    StoreAccess platform =
        StoreAccess.of(adapter, storeSettings, timer, timeline, new Random(), writeShares::get);
    TcpPeerNetwork transport =
        TcpPeerNetwork.listen(
            settings.instance(),
            incarnation,
            new InetSocketAddress(settings.peers().host(), settings.peers().port()),
            codec(),
            timer,
            timeline,
            new SplittableRandom());
    PeerNetwork network = networkFilter.apply(transport);
    MembershipController membership =
        MembershipController.of(
            self(settings, incarnation),
            MembershipSettings.defaults().withLostProcessRetention(keyRetention(settings)),
            seeds(settings),
            platform.instances(),
            network,
            timer,
            timeline,
            new SplittableRandom());
    membership.subscribe((before, after) -> writeShares.set(writeShares(settings, after)));
    return new SharedComponents(
        settings,
        incarnation,
        timer,
        timeline,
        new MetricRegistry(),
        platform,
        writeShares::get,
        transport,
        network,
        membership);
  }

  private static WriteShares writeShares(Settings settings, MembershipView view) {
    StoreSettings storeSettings = storeSettings(settings);
    int instances = view.members().size();
    return settings.platform().domainWriters()
        ? WriteShares.withWriters(storeSettings, instances, view.byDomain().size())
        : WriteShares.withoutWriters(storeSettings, instances);
  }

  static Duration keyRetention(Settings settings) {
    return Duration.ofMillis(settings.keys().retentionMillis());
  }

  private static PeerCodec codec() {
    return PeerCodec.ofAll(
        MembershipMessages.MESSAGE_TYPES,
        CatalogueMessages.MESSAGE_TYPES,
        DiscoveryMessages.MESSAGE_TYPES,
        PoolMessages.MESSAGE_TYPES,
        LimitMessages.MESSAGE_TYPES,
        IdempotencyMessages.MESSAGE_TYPES,
        WriterMessages.MESSAGE_TYPES);
  }

  private static StoreSettings storeSettings(Settings settings) {
    Settings.Platform platform = settings.platform();
    return StoreSettings.of(platform.host(), platform.port())
        .withTimeoutMillis(platform.timeoutMillis())
        .withRates(platform.writesPerSecond(), platform.readsPerSecond())
        .withAllWritesPerSecond(platform.allWritesPerSecond());
  }

  private static Member self(Settings settings, long incarnation) {
    return new Member(
        settings.instance(),
        settings.failureDomain(),
        settings.peers().announced().host(),
        settings.peers().announced().port(),
        incarnation,
        Member.State.ALIVE);
  }

  private static List<ListedInstance> seeds(Settings settings) {
    return settings.peers().seeds().stream()
        .filter(seed -> !seed.instance().equals(settings.instance()))
        .map(
            seed ->
                new ListedInstance(
                    seed.instance().value(),
                    ListedInstance.Kind.ENTRY,
                    seed.failureDomain(),
                    seed.host(),
                    seed.port(),
                    "",
                    ListedInstance.State.LIVE))
        .toList();
  }
}
