package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.TimerService;

/**
 * Grants permits for endpoints with limits out of the slots of this instance, and requests them
 * from the holders of the other slots. Not thread-safe.
 */
final class PermitPeers {
  private static final Duration REPLY_TIMEOUT = Duration.ofMillis(200);

  /** Time until a permit is requested again while no holder is known or none replies. */
  private static final Duration UNKNOWN_HOLDER_RETRY = Duration.ofMillis(500);

  /** Bounds the messages for one permit; slots that are not asked are asked the next time. */
  private static final int MAX_HOLDERS_ASKED = 3;

  private final PeerNetwork network;
  private final Executor executor;
  private final TimerService timer;
  private final Supplier<Map<Integer, SlotGrants>> held;
  private final Function<EndpointId, OptionalDouble> knownLimits;
  private Map<Integer, InstanceId> holders = Map.of();
  private int nextOffset;

  private PermitPeers(
      PeerNetwork network,
      Executor executor,
      TimerService timer,
      Supplier<Map<Integer, SlotGrants>> held,
      Function<EndpointId, OptionalDouble> knownLimits) {
    this.network = requireNonNull(network, "network");
    this.executor = requireNonNull(executor, "executor");
    this.timer = requireNonNull(timer, "timer");
    this.held = requireNonNull(held, "held");
    this.knownLimits = requireNonNull(knownLimits, "knownLimits");
  }

  /** Starts to reply to the requests of peers. */
  static PermitPeers start(
      PeerNetwork network,
      Executor executor,
      TimerService timer,
      Supplier<Map<Integer, SlotGrants>> held,
      Function<EndpointId, OptionalDouble> knownLimits) {
    PermitPeers peers = new PermitPeers(network, executor, timer, held, knownLimits);
    network.handle(
        QuotaMessages.PermitAsk.class,
        (from, ask) -> {
          CompletableFuture<QuotaMessages.PermitReply> reply = new CompletableFuture<>();
          executor.execute(() -> reply.complete(peers.grant(ask)));
          return reply;
        });
    return peers;
  }

  void setHolders(Map<Integer, InstanceId> changed) {
    holders = Map.copyOf(changed);
  }

  private QuotaMessages.PermitReply grant(QuotaMessages.PermitAsk ask) {
    Optional<Duration> refusedFor;
    try {
      refusedFor = tryGrant(EndpointId.of(ask.endpoint()), ask.slot(), ask.requestsPerSecond());
    } catch (IllegalArgumentException malformed) {
      refusedFor = Optional.of(UNKNOWN_HOLDER_RETRY);
    }
    return new QuotaMessages.PermitReply(
        refusedFor.isEmpty(), refusedFor.map(Duration::toMillis).orElse(0L));
  }

  /** Grants a permit out of a slot of this instance, by the lower of the limits that are known. */
  private Optional<Duration> tryGrant(EndpointId endpoint, int slot, double told) {
    SlotGrants grants = held.get().get(slot);
    if (grants == null || !(told >= 0)) {
      return Optional.of(UNKNOWN_HOLDER_RETRY);
    }
    double limit = Math.min(told, knownLimits.apply(endpoint).orElse(told));
    boolean isOfEndpoint = EndpointCapacity.slots(endpoint, limit).contains(slot);
    return isOfEndpoint
        ? grants
            .permits()
            .tryGrant(endpoint.value(), EndpointCapacity.permitsPerSlot(limit), timer.nanoTime())
        : Optional.of(UNKNOWN_HOLDER_RETRY);
  }

  /** Requests a permit; the result is passed once, perhaps before this method returns. */
  void request(EndpointId endpoint, double limit, Consumer<PermitResult> onResult) {
    List<Integer> slots = EndpointCapacity.slots(endpoint, limit);
    Map<Integer, InstanceId> remote = new HashMap<>();
    Duration shortest = EndpointCapacity.WINDOW;
    boolean isHeldSlotFull = false;
    for (int slot : slots) {
      if (held.get().containsKey(slot)) {
        Optional<Duration> refusedFor = tryGrant(endpoint, slot, limit);
        if (refusedFor.isEmpty()) {
          onResult.accept(new PermitResult(true, timer.nanoTime(), Duration.ZERO));
          return;
        }
        isHeldSlotFull = true;
        shortest = min(shortest, refusedFor.get());
      } else if (holders.containsKey(slot)) {
        remote.put(slot, holders.get(slot));
      }
    }
    List<Integer> order = new ArrayList<>();
    nextOffset++;
    for (int number = 0; number < slots.size(); number++) {
      int slot = slots.get((number + nextOffset) % slots.size());
      if (remote.containsKey(slot) && order.size() < MAX_HOLDERS_ASKED) {
        order.add(slot);
      }
    }
    if (order.isEmpty() && !isHeldSlotFull) {
      shortest = UNKNOWN_HOLDER_RETRY;
    }
    requestFrom(order, remote, endpoint, limit, shortest, onResult);
  }

  private void requestFrom(
      List<Integer> slots,
      Map<Integer, InstanceId> remote,
      EndpointId endpoint,
      double limit,
      Duration shortest,
      Consumer<PermitResult> onResult) {
    long sentNanos = timer.nanoTime();
    if (slots.isEmpty()) {
      onResult.accept(new PermitResult(false, sentNanos, shortest));
      return;
    }
    int slot = slots.get(0);
    CompletableFuture<Void> unused =
        network
            .call(
                remote.get(slot),
                new QuotaMessages.PermitAsk(endpoint.value(), slot, limit),
                REPLY_TIMEOUT)
            .handle(
                (message, thrown) -> {
                  executor.execute(
                      () -> {
                        if (message instanceof QuotaMessages.PermitReply reply) {
                          if (reply.isGranted()) {
                            onResult.accept(new PermitResult(true, sentNanos, Duration.ZERO));
                            return;
                          }
                        }
                        Duration refusedFor =
                            message instanceof QuotaMessages.PermitReply reply
                                ? Duration.ofMillis(reply.retryAfterMillis())
                                : UNKNOWN_HOLDER_RETRY;
                        requestFrom(
                            slots.subList(1, slots.size()),
                            remote,
                            endpoint,
                            limit,
                            min(shortest, refusedFor),
                            onResult);
                      });
                  return null;
                });
  }

  private static Duration min(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }
}
