package org.snipewick.writer;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.Outcome;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.TimerService;
import org.snipewick.writer.WriterMessages.Answer;
import org.snipewick.writer.WriterMessages.Batch;
import org.snipewick.writer.WriterMessages.NotWriter;
import org.snipewick.writer.WriterMessages.Operation;
import org.snipewick.writer.WriterMessages.Results;

/**
 * Sends writes in batches to the writer of the failure domain. A write that certainly had no effect
 * through the writer is written directly; a write without an answer is ambiguous, as after a lost
 * answer of the platform. Thread-safe.
 */
final class RemoteWritePath implements WritePath {
  private static final Duration MAX_BATCH_DELAY = Duration.ofMillis(2);
  private static final int MAX_WRITES_PER_BATCH = 50;

  private final Queue<Pending> queue = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean flushScheduled = new AtomicBoolean();
  private final PeerNetwork network;
  private final TimerService timer;
  private final WritePath direct;
  private final Supplier<Optional<InstanceId>> writer;
  private final UnresponsiveWriter unresponsiveWriter;
  private final Duration answerTimeout;

  /** Creates a path to the writer that the supplier returns, empty if no writer is usable. */
  RemoteWritePath(
      PeerNetwork network,
      TimerService timer,
      WritePath direct,
      Supplier<Optional<InstanceId>> writer,
      UnresponsiveWriter unresponsiveWriter,
      Duration answerTimeout) {
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
    this.direct = requireNonNull(direct, "direct");
    this.writer = requireNonNull(writer, "writer");
    this.unresponsiveWriter = requireNonNull(unresponsiveWriter, "unresponsiveWriter");
    this.answerTimeout = requireNonNull(answerTimeout, "answerTimeout");
  }

  private record Pending(Write write, CompletableFuture<WriteResult> result) {}

  @Override
  public CompletableFuture<WriteResult> write(Write write) {
    Pending pending = new Pending(requireNonNull(write, "write"), new CompletableFuture<>());
    queue.add(pending);
    if (flushScheduled.compareAndSet(false, true)) {
      timer.after(MAX_BATCH_DELAY, this::flush);
    }
    return pending.result().copy();
  }

  /** Sends all queued writes in batches. */
  private void flush() {
    flushScheduled.set(false);
    List<Pending> batch = nextBatch();
    while (!batch.isEmpty()) {
      send(batch);
      batch = nextBatch();
    }
  }

  private List<Pending> nextBatch() {
    List<Pending> batch = new ArrayList<>();
    Pending next = queue.poll();
    while (next != null) {
      batch.add(next);
      next = batch.size() < MAX_WRITES_PER_BATCH ? queue.poll() : null;
    }
    return batch;
  }

  private void send(List<Pending> batch) {
    Optional<InstanceId> receiver = writer.get();
    if (receiver.isEmpty()) {
      batch.forEach(this::writeDirectly);
      return;
    }
    Batch message =
        new Batch(batch.stream().map(pending -> Operation.of(pending.write())).toList());
    var unused =
        network
            .call(receiver.get(), message, answerTimeout)
            .whenComplete(
                (answer, failure) -> {
                  if (failure == null) {
                    onAnswer(batch, answer);
                  } else {
                    unresponsiveWriter.recordNoAnswer(receiver.get());
                    onFailure(batch, failure);
                  }
                });
  }

  private void onAnswer(List<Pending> batch, PeerMessage answer) {
    if (answer instanceof NotWriter) {
      batch.forEach(this::writeDirectly);
    } else if (answer instanceof Results results && results.answers().size() == batch.size()) {
      for (int index = 0; index < batch.size(); index++) {
        onResult(batch.get(index), results.answers().get(index));
      }
    } else {
      completeAmbiguous(batch, "malformed answer from the writer");
    }
  }

  private void onResult(Pending pending, Answer answer) {
    WriteResult result = answer.toResult(pending.write().key());
    if (result instanceof WriteResult.Rejected) {
      writeDirectly(pending);
    } else {
      pending.result().complete(result);
    }
  }

  private void onFailure(List<Pending> batch, Throwable failure) {
    if (FailureException.unwrap(failure).outcome() == Outcome.NOT_RUN) {
      batch.forEach(this::writeDirectly);
    } else {
      completeAmbiguous(batch, "no answer from the writer");
    }
  }

  private void writeDirectly(Pending pending) {
    var unused = direct.write(pending.write()).thenAccept(pending.result()::complete);
  }

  private static void completeAmbiguous(List<Pending> batch, String detail) {
    batch.forEach(pending -> pending.result().complete(new WriteResult.Ambiguous(detail)));
  }
}
