package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.InstanceList;
import org.snipewick.store.ListedInstance;
import org.snipewick.time.TimerService;

/**
 * Maintains the membership by heartbeats within the local failure domain, and by digests to members
 * of other domains and to local peers. The public methods may be called on any thread. All state
 * changes run on the timer's thread, and readers receive immutable snapshots.
 */
public final class MembershipController implements Membership {
  private final MembershipSettings settings;
  private final PeerNetwork network;
  private final TimerService timer;
  private final MemberTable table;
  private final ActivityMonitor activity;
  private final MemberDiscovery discovery;
  private final DigestExchange digests;
  private final ViewPublisher publisher;
  private final HeartbeatSender heartbeats;
  private final List<TimerService.Subscription> subscriptions = new CopyOnWriteArrayList<>();
  private VersionGossip versionGossip = VersionGossip.none();
  private boolean stateSentThisRound;
  private boolean localStateReceived;
  private boolean acknowledgementReceived;

  private MembershipController(
      Member self,
      MembershipSettings settings,
      List<ListedInstance> seeds,
      InstanceList list,
      PeerNetwork network,
      TimerService timer,
      EventLog log,
      RandomGenerator random) {
    this.settings = requireNonNull(settings, "settings");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
    this.table = new MemberTable(MemberClaim.of(self), settings);
    long firstSequence = self.incarnation() / settings.heartbeatPeriod().toMillis();
    this.activity = new ActivityMonitor(settings, timer, log, firstSequence);
    DomainHeartbeats domainHeartbeats = new DomainHeartbeats(settings.domainTimeout().toNanos());
    this.publisher = new ViewPublisher(table, domainHeartbeats, timer, log);
    this.discovery = new MemberDiscovery(table, seeds, list, network, timer, random, settings);
    this.digests = new DigestExchange(table, domainHeartbeats, network, timer, random, settings);
    this.heartbeats =
        new HeartbeatSender(
            table,
            activity,
            publisher,
            network,
            timer,
            random,
            settings.heartbeatPeriod(),
            () -> versionGossip.version());
  }

  /**
   * Creates the membership of an instance; it is idle until {@link #start} is called.
   *
   * @param self the local instance, with its incarnation
   * @param settings periods and timeouts
   * @param seeds instances that are contacted at the start, also when the platform's list cannot be
   *     read
   * @param list the platform's list
   * @param network network to the other instances
   * @param timer clock and timer; all state changes run on its thread
   * @param log event log
   * @param random source of jitter and of samples; used by the timer's thread only
   * @return membership
   */
  public static MembershipController of(
      Member self,
      MembershipSettings settings,
      List<ListedInstance> seeds,
      InstanceList list,
      PeerNetwork network,
      TimerService timer,
      EventLog log,
      RandomGenerator random) {
    return new MembershipController(self, settings, seeds, list, network, timer, log, random);
  }

  /**
   * Sets the version that heartbeats and digests carry; must be called before {@link #start}.
   *
   * @param gossip source of the local version and listener for the versions of peers
   */
  public void setVersionGossip(VersionGossip gossip) {
    versionGossip = requireNonNull(gossip, "gossip");
  }

  /** Starts sending heartbeats and digests and discovering other instances. */
  public void start() {
    TimerThreadHandlers handlers = new TimerThreadHandlers(network, timer);
    handlers.handle(MembershipMessages.Heartbeat.class, this::onHeartbeat);
    handlers.handle(MembershipMessages.Digest.class, this::onDigest);
    handlers.handle(MembershipMessages.DomainState.class, this::onState);
    subscriptions.add(timer.every(settings.heartbeatPeriod(), this::runRound));
    subscriptions.add(timer.every(settings.digestPeriod(), this::sendDigests));
    runOnTimerThread(discovery::start);
  }

  /** Announces a planned stop: peers assign this instance no responsibilities from then on. */
  public void announceLeaving() {
    runOnTimerThread(() -> announce(MemberClaim.Status.LEAVING));
  }

  /** Announces the end of a planned stop, and then does the same as {@link #close}. */
  public void depart() {
    runOnTimerThread(
        () -> {
          announce(MemberClaim.Status.DEPARTED);
          sendDigests();
          close();
        });
  }

  /**
   * Stops the periodic heartbeats, digests and reads of the platform's list. Announces nothing to
   * the peers, as in a crash. Messages of peers are still handled.
   */
  public void close() {
    subscriptions.forEach(TimerService.Subscription::cancel);
    discovery.stop();
  }

  /**
   * Returns the lost processes of the local failure domain.
   *
   * @return those lost within the retention time, detected by this instance or reported by its
   *     peers
   */
  public List<LostProcess> recentLostProcesses() {
    return publisher.lostProcesses();
  }

  @Override
  public MembershipView view() {
    return publisher.view();
  }

  @Override
  public void subscribe(BiConsumer<MembershipView, MembershipView> listener) {
    publisher.subscribe(listener);
  }

  @Override
  public boolean isActive() {
    return activity.isActive();
  }

  @Override
  public long activeSinceEpochMillis() {
    return activity.activeSinceEpochMillis();
  }

  /** Declares peers dead and sends heartbeats; first restarts the timeouts after a pause. */
  private void runRound() {
    if (activity.isTooEarlyForRound()) {
      return;
    }
    long now = timer.nanoTime();
    if (!activity.beginRound()) {
      table.all().forEach(record -> record.restartTimeout(now));
      digests.restartTimeouts(now);
    }
    stateSentThisRound = false;
    table.declareTimedOutDead(now, timer.epochMillis());
    table.purgeEnded(now, timer.epochMillis());
    publishAndEvaluate();
    heartbeats.sendToLocalPeers();
    heartbeats.probeOneDeadPeer();
  }

  /**
   * Publishes changes of the table. Re-evaluates whether this instance is active, but only after
   * the members of its domain have been discovered: after the platform's list was read or a
   * heartbeat was acknowledged, and, unless there are no local peers, after a peer has sent the
   * domain's state.
   */
  private void publishAndEvaluate() {
    publisher.publish();
    List<MemberRecord> localPeers = table.localPeers();
    boolean peersDiscovered = discovery.isListRead() || acknowledgementReceived;
    boolean localStateComplete = localStateReceived || localPeers.isEmpty();
    if (peersDiscovered && localStateComplete && !table.isSuperseded()) {
      activity.evaluate(localPeers);
    }
  }

  private void sendDigests() {
    digests.sendDigests(versionGossip.version(), publisher.hashes());
  }

  private void announce(MemberClaim.Status status) {
    table.setStatus(status);
    publisher.publish();
    heartbeats.sendToLocalPeers();
  }

  private void onHeartbeat(InstanceId from, MembershipMessages.Heartbeat heartbeat) {
    MemberRecord sender = table.find(from).orElse(null);
    if (sender == null || heartbeat.incarnation() < sender.claim().incarnation()) {
      return;
    }
    long now = timer.nanoTime();
    MemberClaim reported =
        sender
            .claim()
            .withReportedState(heartbeat.incarnation(), heartbeat.refutation(), heartbeat.status());
    table.merge(reported, now, timer.epochMillis());
    boolean acknowledges = activity.isOwnRound(heartbeat.acknowledged());
    sender.recordHeartbeat(heartbeat.sequence(), acknowledges ? heartbeat.acknowledged() : 0, now);
    if (acknowledges) {
      acknowledgementReceived = true;
      activity.recordAcknowledgement(heartbeat.acknowledged());
    }
    if (heartbeat.deadRefutation() > 0 && table.refute(heartbeat.deadRefutation() - 1)) {
      activity.deactivate("declared dead by " + from);
    }
    publishAndEvaluate();
    if (sender.claim().status() == MemberClaim.Status.DEAD) {
      heartbeats.send(sender);
    }
    if (heartbeat.domainHash() != publisher.localHash() && !stateSentThisRound) {
      stateSentThisRound = true;
      digests.sendState(from, table.self().domain(), publisher.hashes(), false);
    }
    versionGossip.onVersion(from, heartbeat.version());
  }

  private void onDigest(InstanceId from, MembershipMessages.Digest digest) {
    merge(List.of(digest.sender()));
    publishAndEvaluate();
    digests.answerDigest(from, digest, publisher.hashes());
    versionGossip.onVersion(from, digest.version());
  }

  private void onState(InstanceId from, MembershipMessages.DomainState state) {
    rejectSuperseded(from, state.claims());
    merge(state.claims());
    boolean local = state.domain().equals(table.self().domain());
    if (local) {
      table.mergeLostProcesses(state.lostProcesses());
      localStateReceived |= state.reply() || state.claims().size() > 1;
    } else {
      digests.removeUnreported(from, state);
    }
    publishAndEvaluate();
    int hash = publisher.hashes().getOrDefault(state.domain(), 0);
    if (!state.reply() && hash != state.hash()) {
      digests.sendState(from, state.domain(), publisher.hashes(), true);
    }
  }

  /**
   * Rejects a sender's claim about itself if a later process of the same name exists.
   *
   * @throws org.snipewick.failure.FailureException of type {@link FailureType#SUPERSEDED}
   */
  private void rejectSuperseded(InstanceId from, List<MemberClaim> claims) {
    long latest = table.find(from).map(record -> record.claim().incarnation()).orElse(0L);
    for (MemberClaim claim : claims) {
      if (claim.id().equals(from) && claim.incarnation() < latest) {
        String detail = from + " has a later process";
        throw Failure.notRun(FailureType.SUPERSEDED, detail).toException();
      }
    }
  }

  private void merge(List<MemberClaim> claims) {
    int refutation = table.self().refutation();
    for (MemberClaim claim : claims) {
      if (table.merge(claim, timer.nanoTime(), timer.epochMillis())) {
        setAddress(claim);
      }
    }
    if (table.self().refutation() != refutation || table.isSuperseded()) {
      activity.deactivate("declared dead");
    }
  }

  private void setAddress(MemberClaim claim) {
    if (!claim.id().equals(table.self().id())) {
      network.setAddress(claim.id(), new InetSocketAddress(claim.host(), claim.port()));
    }
  }

  private void runOnTimerThread(Runnable task) {
    timer.after(Duration.ZERO, task);
  }
}
