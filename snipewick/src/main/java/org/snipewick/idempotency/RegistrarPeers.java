package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.idempotency.IdempotencyMessages.Ask;
import org.snipewick.idempotency.IdempotencyMessages.Confirm;
import org.snipewick.idempotency.IdempotencyMessages.Confirmed;
import org.snipewick.idempotency.IdempotencyMessages.Note;
import org.snipewick.idempotency.IdempotencyMessages.Noted;
import org.snipewick.idempotency.IdempotencyMessages.Told;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.peer.PeerNetwork;

/** Calls of the registrar to witnesses, to members that may know a key, and to entries. */
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

  /** Asks the entry of a call what became of it; fails if it does not answer. */
  CompletableFuture<Confirmed> confirm(RequestId request) {
    return network
        .call(request.instance(), new Confirm(request), context.settings().peerTimeout())
        .thenApply(Confirmed.class::cast);
  }

  /**
   * Makes one witness remember a claim; completes without one only if no other member is alive.
   * Returns another record if the witness has one.
   */
  CompletableFuture<Optional<KeyRecord>> note(
      KeyRecord record, Optional<RequestId> supersedes, long deadlineNanos) {
    Noting noting = new Noting(new Note(record, supersedes), deadlineNanos);
    noting.start();
    return noting.result;
  }

  /** Asks all other members of the domain that are not dead; waits for those that are silent. */
  CompletableFuture<List<Told>> askAll(String key, boolean takeOver, long deadlineNanos) {
    CompletableFuture<List<Told>> all = CompletableFuture.completedFuture(List.of());
    for (InstanceId member : placement.others()) {
      CompletableFuture<Optional<Told>> one = new CompletableFuture<>();
      ask(member, new Ask(key, takeOver), deadlineNanos, one);
      all = all.thenCombine(one, RegistrarPeers::append);
    }
    return all;
  }

  private static List<Told> append(List<Told> told, Optional<Told> one) {
    List<Told> joined = new ArrayList<>(told);
    one.ifPresent(joined::add);
    return joined;
  }

  private void ask(
      InstanceId member, Ask ask, long deadlineNanos, CompletableFuture<Optional<Told>> result) {
    if (!context.isReachable(member)) {
      result.complete(Optional.empty());
      return;
    }
    var unused =
        network
            .call(member, ask, context.settings().peerTimeout())
            .whenComplete(
                (told, failure) -> {
                  if (failure == null) {
                    result.complete(Optional.of((Told) told));
                  } else if (isLate(deadlineNanos)) {
                    result.completeExceptionally(
                        context.unavailable(member + " does not answer").toException());
                  } else {
                    later(() -> ask(member, ask, deadlineNanos, result));
                  }
                });
  }

  private boolean isLate(long deadlineNanos) {
    return context.timer().nanoTime() - deadlineNanos >= 0;
  }

  private void later(Runnable task) {
    var unused = context.timer().after(RETRY_DELAY, task);
  }

  /** One claim on its way to a witness. */
  private final class Noting {
    private final CompletableFuture<Optional<KeyRecord>> result = new CompletableFuture<>();
    private final Note note;
    private final long deadlineNanos;

    Noting(Note note, long deadlineNanos) {
      this.note = note;
      this.deadlineNanos = deadlineNanos;
    }

    void start() {
      List<InstanceId> witnesses = placement.witnesses(note.record().key());
      if (witnesses.isEmpty()) {
        result.complete(Optional.empty());
      } else {
        attempt(witnesses, 0);
      }
    }

    private void attempt(List<InstanceId> witnesses, int index) {
      if (isLate(deadlineNanos)) {
        result.completeExceptionally(context.unavailable("no witness answers").toException());
      } else if (index >= witnesses.size()) {
        later(this::start);
      } else {
        var unused =
            network
                .call(witnesses.get(index), note, context.settings().peerTimeout())
                .whenComplete(
                    (noted, failure) -> {
                      if (failure != null) {
                        attempt(witnesses, index + 1);
                      } else {
                        finish((Noted) noted);
                      }
                    });
      }
    }

    private void finish(Noted noted) {
      if (noted.outranked()) {
        result.completeExceptionally(
            context.unavailable("left to another registrar").toException());
      } else {
        result.complete(noted.known());
      }
    }
  }

  /** Tells whether a failed call may be tried again at the same or another registrar. */
  static boolean isPassing(Throwable failure) {
    FailureType type = FailureException.unwrap(failure).type();
    return type == FailureType.REGISTRAR_UNAVAILABLE || type == FailureType.PEER_UNAVAILABLE;
  }
}
