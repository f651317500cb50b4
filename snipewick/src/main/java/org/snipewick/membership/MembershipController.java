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
 * Keeps the membership by heartbeats within the own failure domain and digests between domains. All
 * changes happen on the timer's thread; readers see immutable snapshots.
 */
public final class MembershipController implements Membership {
  private final MembershipSettings settings;
  private final PeerNetwork network;
  private final TimerService timer;
  private final MemberTable table;
  private final StandingKeeper standing;
  private final Discovery discovery;
  private final DigestExchange exchange;
  private final ViewPublisher publisher;
  private final HeartbeatSender heartbeats;
  private final List<TimerService.Subscription> subscriptions = new CopyOnWriteArrayList<>();
  private VersionGossip versions = VersionGossip.none();
  private boolean stateSentThisRound;
  private boolean stateReceived;
  private boolean answerReceived;

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
    this.table = new MemberTable(Claim.of(self), settings);
    long firstSequence = self.incarnation() / settings.heartbeatPeriod().toMillis();
    this.standing = new StandingKeeper(settings, timer, log, firstSequence);
    DomainBeats beats = new DomainBeats(settings.domainTimeout().toNanos());
    this.publisher = new ViewPublisher(table, beats, timer, log);
    this.discovery = new Discovery(table, seeds, list, network, timer, random, settings);
    this.exchange = new DigestExchange(table, beats, network, timer, random, settings);
    this.heartbeats =
        new HeartbeatSender(
            table,
            standing,
            publisher,
            network,
            timer,
            random,
            settings.heartbeatPeriod(),
            () -> versions.version());
  }

  /**
   * Creates the membership of an instance; it does nothing until started.
   *
   * @param self the own instance, with its incarnation
   * @param settings periods and time-outs
   * @param seeds instances to contact when the platform's list cannot be read
   * @param list the platform's list
   * @param network network to the other instances
   * @param timer clock and timer; everything runs on its thread
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
   * Sets what rides on the heartbeats; to be called before {@link #start}.
   *
   * @param gossip version in force here and listener to those of others
   */
  public void carry(VersionGossip gossip) {
    versions = requireNonNull(gossip, "gossip");
  }

  /** Starts heartbeats and the search for other instances. */
  public void start() {
    TimerHandlers handlers = new TimerHandlers(network, timer);
    handlers.handle(MembershipMessages.Heartbeat.class, this::onHeartbeat);
    handlers.handle(MembershipMessages.Digest.class, this::onDigest);
    handlers.handle(MembershipMessages.DomainState.class, this::onState);
    subscriptions.add(timer.every(settings.heartbeatPeriod(), this::round));
    subscriptions.add(timer.every(settings.digestPeriod(), this::sendDigests));
    run(discovery::start);
  }

  /** Announces a planned stop: the instance takes no new duties from now on. */
  public void announceLeaving() {
    run(() -> announce(Claim.Status.LEAVING));
  }

  /** Announces the end of a planned stop and ends all activity. */
  public void depart() {
    run(
        () -> {
          announce(Claim.Status.DEPARTED);
          sendDigests();
          close();
        });
  }

  /** Ends all activity without a word, as a crash would. */
  public void close() {
    subscriptions.forEach(TimerService.Subscription::cancel);
    discovery.stop();
  }

  /**
   * Returns the processes of the own failure domain that were lost without a planned stop.
   *
   * @return losses within the retention time, this instance's and those that its peers know of
   */
  public List<Loss> recentLosses() {
    return publisher.losses();
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
  public boolean hasStanding() {
    return standing.hasStanding();
  }

  @Override
  public long standingSinceEpochMillis() {
    return standing.sinceEpochMillis();
  }

  private void round() {
    if (standing.isEarly()) {
      return;
    }
    long now = timer.nanoTime();
    if (!standing.tick()) {
      table.all().forEach(record -> record.forgiveSilence(now));
      exchange.forgiveSilence(now);
    }
    stateSentThisRound = false;
    table.declareSilentDead(now, timer.epochMillis());
    table.purgeEnded(now, timer.epochMillis());
    settle();
    heartbeats.sendToNeighbours();
    heartbeats.probeOneDead();
  }

  /** Makes changes of the table visible and reviews the standing. */
  private void settle() {
    publisher.publish();
    List<MemberRecord> neighbours = table.neighbours();
    boolean knowsDomain = discovery.isListRead() || answerReceived;
    boolean knowsNeighbours = stateReceived || neighbours.isEmpty();
    if (knowsDomain && knowsNeighbours && !table.isSuperseded()) {
      standing.review(neighbours);
    }
  }

  private void sendDigests() {
    exchange.sendDigests(versions.version(), publisher.hashes());
  }

  private void announce(Claim.Status status) {
    table.setStatus(status);
    publisher.publish();
    heartbeats.sendToNeighbours();
  }

  private void onHeartbeat(InstanceId from, MembershipMessages.Heartbeat heartbeat) {
    MemberRecord sender = table.find(from).orElse(null);
    if (sender == null || heartbeat.incarnation() < sender.claim().incarnation()) {
      return;
    }
    long now = timer.nanoTime();
    Claim stated =
        sender
            .claim()
            .restated(heartbeat.incarnation(), heartbeat.refutation(), heartbeat.status());
    table.merge(stated, now, timer.epochMillis());
    boolean answers = standing.isOwnRound(heartbeat.acknowledged());
    sender.heard(heartbeat.sequence(), answers ? heartbeat.acknowledged() : 0, now);
    if (answers) {
      answerReceived = true;
      standing.answered(heartbeat.acknowledged());
    }
    if (heartbeat.deadRefutation() > 0 && table.refute(heartbeat.deadRefutation() - 1)) {
      standing.lose("declared dead by " + from);
    }
    settle();
    if (sender.claim().status() == Claim.Status.DEAD) {
      heartbeats.send(sender);
    }
    if (heartbeat.domainHash() != publisher.ownHash() && !stateSentThisRound) {
      stateSentThisRound = true;
      exchange.sendState(from, table.self().domain(), publisher.hashes(), false);
    }
    versions.heard(from, heartbeat.version());
  }

  private void onDigest(InstanceId from, MembershipMessages.Digest digest) {
    merge(List.of(digest.sender()));
    settle();
    exchange.answerDigest(from, digest, publisher.hashes());
    versions.heard(from, digest.version());
  }

  private void onState(InstanceId from, MembershipMessages.DomainState state) {
    refuseSuperseded(from, state.claims());
    merge(state.claims());
    boolean own = state.domain().equals(table.self().domain());
    if (own) {
      table.mergeLosses(state.losses());
      stateReceived |= state.reply() || state.claims().size() > 1;
    } else {
      exchange.retainKnownToMember(from, state);
    }
    settle();
    int hash = publisher.hashes().getOrDefault(state.domain(), 0);
    if (!state.reply() && hash != state.hash()) {
      exchange.sendState(from, state.domain(), publisher.hashes(), true);
    }
  }

  private void refuseSuperseded(InstanceId from, List<Claim> claims) {
    long known = table.find(from).map(record -> record.claim().incarnation()).orElse(0L);
    for (Claim claim : claims) {
      if (claim.id().equals(from) && claim.incarnation() < known) {
        String detail = from + " has a later process";
        throw Failure.notRun(FailureType.SUPERSEDED, detail).toException();
      }
    }
  }

  private void merge(List<Claim> claims) {
    int refutation = table.self().refutation();
    for (Claim claim : claims) {
      if (table.merge(claim, timer.nanoTime(), timer.epochMillis())) {
        locate(claim);
      }
    }
    if (table.self().refutation() != refutation || table.isSuperseded()) {
      standing.lose("declared dead");
    }
  }

  private void locate(Claim claim) {
    if (!claim.id().equals(table.self().id())) {
      network.locate(claim.id(), new InetSocketAddress(claim.host(), claim.port()));
    }
  }

  private void run(Runnable task) {
    timer.after(Duration.ZERO, task);
  }
}
