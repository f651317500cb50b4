package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.idempotency.IdempotencyMessages.KeyQuery;
import org.snipewick.idempotency.IdempotencyMessages.KeyReport;
import org.snipewick.idempotency.IdempotencyMessages.RequestStatusQuery;
import org.snipewick.idempotency.IdempotencyMessages.RequestStatusReport;
import org.snipewick.idempotency.IdempotencyMessages.WitnessReply;
import org.snipewick.idempotency.IdempotencyMessages.WitnessRequest;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.peer.PeerNetwork;

/** Calls from the registrar to witnesses, to other members and to entry instances. */
final class RegistrarPeers {
  private static final Duration RETRY_DELAY = Duration.ofMillis(50);

  private final PeerNetwork network;
  private final RegistrarPlacement placement;
  private final LedgerContext context;

  RegistrarPeers(PeerNetwork network, RegistrarPlacement placement, LedgerContext context) {
    this.network = requireNonNull(network, "network");
    this.placement = requireNonNull(placement, "placement");
    this.context = requireNonNull(context, "context");
  }

  /**
   * Queries the status of a request from the entry instance that received it. Fails if that
   * instance does not reply within the peer timeout.
   */
  CompletableFuture<RequestStatusReport> queryRequestStatus(RequestId request) {
    return network
        .call(request.instance(), new RequestStatusQuery(request), context.settings().peerTimeout())
        .thenApply(RequestStatusReport.class::cast);
  }

  /**
   * Replicates a claim to the first witness that responds. Completes without a replica only if no
   * other member is alive. Returns the record of another request if the witness has one. Fails with
   * {@link FailureType#REGISTRAR_UNAVAILABLE} if no witness responds before the deadline, or if the
   * witness replies that another registrar has taken the key over.
   */
  CompletableFuture<Optional<KeyRecord>> replicateToWitness(
      KeyRecord record, Optional<RequestId> supersedes, long deadlineNanos) {
    WitnessReplication replication =
        new WitnessReplication(new WitnessRequest(record, supersedes), deadlineNanos);
    replication.start();
    return replication.result;
  }

  /**
   * Queries all other reachable members of the domain for a key. Retries a member that does not
   * reply until it replies or becomes unreachable; fails with {@link
   * FailureType#REGISTRAR_UNAVAILABLE} if it does neither before the deadline.
   *
   * @param key key with its team
   * @param takeOver whether the members must stop acting as registrar of the key
   * @param deadlineNanos deadline in nanoseconds of the monotonic clock
   * @return reports of the members that replied
   */
  CompletableFuture<List<KeyReport>> queryMembers(
      String key, boolean takeOver, long deadlineNanos) {
    CompletableFuture<List<KeyReport>> reports = CompletableFuture.completedFuture(List.of());
    for (InstanceId member : placement.otherMembers()) {
      CompletableFuture<Optional<KeyReport>> report = new CompletableFuture<>();
      queryMember(member, new KeyQuery(key, takeOver), deadlineNanos, report);
      reports = reports.thenCombine(report, RegistrarPeers::append);
    }
    return reports;
  }

  private static List<KeyReport> append(List<KeyReport> reports, Optional<KeyReport> added) {
    List<KeyReport> joined = new ArrayList<>(reports);
    added.ifPresent(joined::add);
    return joined;
  }

  private void queryMember(
      InstanceId member,
      KeyQuery query,
      long deadlineNanos,
      CompletableFuture<Optional<KeyReport>> result) {
    if (!context.isReachable(member)) {
      result.complete(Optional.empty());
      return;
    }
    var unused =
        network
            .call(member, query, context.settings().peerTimeout())
            .whenComplete(
                (report, failure) -> {
                  if (failure == null) {
                    result.complete(Optional.of((KeyReport) report));
                  } else if (isPastDeadline(deadlineNanos)) {
                    result.completeExceptionally(
                        context.unavailable(member + " does not respond").toException());
                  } else {
                    scheduleRetry(() -> queryMember(member, query, deadlineNanos, result));
                  }
                });
  }

  private boolean isPastDeadline(long deadlineNanos) {
    return context.timer().nanoTime() - deadlineNanos >= 0;
  }

  private void scheduleRetry(Runnable task) {
    var unused = context.timer().after(RETRY_DELAY, task);
  }

  /** Replication of one claim to a witness. */
  private final class WitnessReplication {
    private final CompletableFuture<Optional<KeyRecord>> result = new CompletableFuture<>();
    private final WitnessRequest message;
    private final long deadlineNanos;

    WitnessReplication(WitnessRequest message, long deadlineNanos) {
      this.message = message;
      this.deadlineNanos = deadlineNanos;
    }

    void start() {
      List<InstanceId> witnesses = placement.witnesses(message.record().key());
      if (witnesses.isEmpty()) {
        result.complete(Optional.empty());
      } else {
        attempt(witnesses, 0);
      }
    }

    private void attempt(List<InstanceId> witnesses, int index) {
      if (isPastDeadline(deadlineNanos)) {
        result.completeExceptionally(
            context
                .unavailable("no witness responded before the deadline of the claim")
                .toException());
      } else if (index >= witnesses.size()) {
        scheduleRetry(this::start);
      } else {
        var unused =
            network
                .call(witnesses.get(index), message, context.settings().peerTimeout())
                .whenComplete(
                    (reply, failure) -> {
                      if (failure != null) {
                        attempt(witnesses, index + 1);
                      } else {
                        finish((WitnessReply) reply);
                      }
                    });
      }
    }

    private void finish(WitnessReply reply) {
      if (reply.outranked()) {
        result.completeExceptionally(
            context.unavailable("the key was taken over by another registrar").toException());
      } else {
        result.complete(reply.known());
      }
    }
  }

  /** Returns whether a failed call may be retried at the same or another registrar. */
  static boolean isTransient(Throwable failure) {
    FailureType type = FailureException.unwrap(failure).type();
    return type == FailureType.REGISTRAR_UNAVAILABLE || type == FailureType.PEER_UNAVAILABLE;
  }
}
