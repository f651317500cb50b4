package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.snipewick.idempotency.IdempotencyMessages.HandoverComplete;
import org.snipewick.idempotency.IdempotencyMessages.HandoverRecords;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;

/** Sends each record of a leaving instance to the two members that rank next for its key. */
final class RecordHandover {
  private static final int COPIES_PER_RECORD = 2;
  private static final int MAX_BATCH_RECORDS = 64;
  private static final int MAX_BATCH_BYTES = 256 * 1024;

  /** Estimated encoded size of a record without its answer. */
  private static final int ESTIMATED_RECORD_BYTES = 256;

  private final PeerNetwork network;
  private final RegistrarPlacement placement;
  private final LedgerContext context;

  RecordHandover(PeerNetwork network, RegistrarPlacement placement, LedgerContext context) {
    this.network = requireNonNull(network, "network");
    this.placement = requireNonNull(placement, "placement");
    this.context = requireNonNull(context, "context");
  }

  /**
   * Sends the records, then notifies all other members that the handover is complete.
   *
   * @param records records of this instance
   * @param coverage coverage of this instance
   * @return future that completes when all receivers have acknowledged; fails with {@link
   *     org.snipewick.failure.FailureType#REGISTRAR_UNAVAILABLE} if there are records but no other
   *     member
   */
  CompletableFuture<Void> run(List<KeyRecord> records, Coverage coverage) {
    long incarnation =
        context
            .membership()
            .view()
            .find(context.membership().view().self())
            .orElseThrow()
            .incarnation();
    if (placement.otherMembers().isEmpty() && !records.isEmpty()) {
      return CompletableFuture.failedFuture(
          context.unavailable("no other member to hand over to").toException());
    }
    List<CompletableFuture<PeerMessage>> calls = new ArrayList<>();
    groupByReceiver(records)
        .forEach(
            (receiver, received) ->
                batches(received)
                    .forEach(batch -> calls.add(call(receiver, new HandoverRecords(batch)))));
    return allOf(calls)
        .thenCompose(
            done ->
                allOf(
                    placement.otherMembers().stream()
                        .map(member -> call(member, new HandoverComplete(incarnation, coverage)))
                        .toList()));
  }

  private Map<InstanceId, List<KeyRecord>> groupByReceiver(List<KeyRecord> records) {
    Map<InstanceId, List<KeyRecord>> recordsByReceiver = new HashMap<>();
    for (KeyRecord record : records) {
      placement.witnesses(record.key()).stream()
          .limit(COPIES_PER_RECORD)
          .forEach(
              receiver ->
                  recordsByReceiver
                      .computeIfAbsent(receiver, key -> new ArrayList<>())
                      .add(record));
    }
    return recordsByReceiver;
  }

  private static List<List<KeyRecord>> batches(List<KeyRecord> records) {
    List<List<KeyRecord>> batches = new ArrayList<>();
    List<KeyRecord> batch = new ArrayList<>();
    int bytes = 0;
    for (KeyRecord record : records) {
      bytes += ESTIMATED_RECORD_BYTES + record.answer().map(RecordStore::answerBytes).orElse(0);
      if (!batch.isEmpty() && (bytes > MAX_BATCH_BYTES || batch.size() >= MAX_BATCH_RECORDS)) {
        batches.add(batch);
        batch = new ArrayList<>();
        bytes = ESTIMATED_RECORD_BYTES;
      }
      batch.add(record);
    }
    batches.add(batch);
    return batches;
  }

  private CompletableFuture<PeerMessage> call(InstanceId receiver, PeerMessage message) {
    return network.call(receiver, message, context.settings().claimTimeout());
  }

  private static CompletableFuture<Void> allOf(List<CompletableFuture<PeerMessage>> calls) {
    return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new));
  }
}
