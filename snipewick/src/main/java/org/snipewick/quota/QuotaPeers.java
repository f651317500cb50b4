package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.snipewick.fleet.FleetMember;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Rendezvous;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.TimerService;

/** Holders of slots, in the order in which this instance asks them. */
final class QuotaPeers {
  private static final Duration REPLY_TIMEOUT = Duration.ofMillis(200);

  /** Time between two checks whether a record has been written; a write takes some milliseconds. */
  private static final Duration RECORD_CHECK_PERIOD = Duration.ofMillis(15);

  private static final int MAX_RECORD_CHECKS = 8;

  /** Time for which a holder that did not reply is not asked again. */
  private static final Duration SILENT_HOLDER_PAUSE = Duration.ofMillis(500);

  private final InstanceId self;
  private final PeerNetwork network;
  private final Executor executor;
  private final TimerService timer;
  private final SlotHolder holder;
  private final Runnable recorder;
  private final Map<InstanceId, Long> silentUntilNanos = new HashMap<>();
  private Map<InstanceId, FailureDomain> domains = Map.of();
  private Set<InstanceId> holders = Set.of();
  private List<InstanceId> ordered = List.of();
  private int instances = 1;

  private QuotaPeers(
      InstanceId self,
      PeerNetwork network,
      Executor executor,
      TimerService timer,
      SlotHolder holder,
      Runnable recorder) {
    this.timer = requireNonNull(timer, "timer");
    this.holder = requireNonNull(holder, "holder");
    this.recorder = requireNonNull(recorder, "recorder");
    this.self = requireNonNull(self, "self");
    this.network = requireNonNull(network, "network");
    this.executor = requireNonNull(executor, "executor");
  }

  /** Starts to reply to the requests of peers with grants of this instance. */
  static QuotaPeers start(
      InstanceId self,
      PeerNetwork network,
      Executor executor,
      TimerService timer,
      SlotHolder holder,
      Runnable recorder) {
    QuotaPeers peers = new QuotaPeers(self, network, executor, timer, holder, recorder);
    network.handle(
        QuotaMessages.Ask.class,
        (from, ask) -> {
          CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
          executor.execute(() -> peers.reply(ask, MAX_RECORD_CHECKS, reply));
          return reply;
        });
    return peers;
  }

  /** Replies once a record allows all that is wanted and free, or after some checks. */
  private void reply(QuotaMessages.Ask ask, int checksLeft, CompletableFuture<PeerMessage> reply) {
    if (checksLeft > 0 && holder.needsRecord(ask, timer.nanoTime())) {
      recorder.run();
      timer.after(RECORD_CHECK_PERIOD, () -> reply(ask, checksLeft - 1, reply));
    } else {
      reply.complete(holder.grant(ask, timer.nanoTime()));
    }
  }

  void setInstances(List<FleetMember> members) {
    Map<InstanceId, FailureDomain> changed = new HashMap<>();
    members.forEach(member -> changed.put(member.instance(), member.domain()));
    domains = changed;
    instances = members.size();
    order();
  }

  void setHolders(Set<InstanceId> changed) {
    if (!changed.equals(holders)) {
      holders = Set.copyOf(changed);
      order();
    }
  }

  /** Prefers this instance, then its failure domain, and spreads the instances over the holders. */
  private void order() {
    List<InstanceId> changed =
        new ArrayList<>(Rendezvous.rank(self.value(), holders, InstanceId::value));
    changed.sort(Comparator.comparing(this::distance));
    ordered = List.copyOf(changed);
  }

  private int distance(InstanceId holder) {
    if (holder.equals(self)) {
      return 0;
    }
    FailureDomain own = domains.get(self);
    return own != null && own.equals(domains.get(holder)) ? 1 : 2;
  }

  /** Returns the holders, the preferred one first. */
  List<InstanceId> holders() {
    return ordered;
  }

  /** Returns whether a holder has not replied lately. */
  boolean isSilent(InstanceId holder) {
    Long untilNanos = silentUntilNanos.get(holder);
    return untilNanos != null && untilNanos - timer.nanoTime() > 0;
  }

  /** Returns the number of registered instances. */
  int instances() {
    return instances;
  }

  /** Sends a request for a grant; the reply is empty if none arrives in time. */
  void ask(
      InstanceId holder, QuotaMessages.Ask ask, Consumer<Optional<QuotaMessages.Grant>> onReply) {
    CompletableFuture<Void> unused =
        network
            .call(holder, ask, REPLY_TIMEOUT)
            .handle(
                (reply, thrown) -> {
                  Optional<QuotaMessages.Grant> grant =
                      reply instanceof QuotaMessages.Grant granted
                          ? Optional.of(granted)
                          : Optional.empty();
                  executor.execute(
                      () -> {
                        recordReply(holder, grant.isPresent());
                        onReply.accept(grant);
                      });
                  return null;
                });
  }

  private void recordReply(InstanceId holder, boolean hasReplied) {
    if (hasReplied) {
      silentUntilNanos.remove(holder);
    } else {
      silentUntilNanos.put(holder, timer.nanoTime() + SILENT_HOLDER_PAUSE.toNanos());
    }
  }
}
