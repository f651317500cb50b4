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
 * Way through the writer of the failure domain. A write that the writer surely did not send goes
 * the direct way; one whose answer did not come is ambiguous, as after a lost answer of the
 * platform.
 */
final class RemoteWrites implements WritePath {
  private static final Duration LINGER = Duration.ofMillis(2);
  private static final int MAX_ROWS = 50;

  private final Queue<Pending> queue = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean waking = new AtomicBoolean();
  private final PeerNetwork network;
  private final TimerService timer;
  private final WritePath direct;
  private final Supplier<Optional<InstanceId>> writer;
  private final SilentWriter silent;
  private final Duration timeout;

  /** Creates a way to the writer that the supplier names, empty if there is none to be used. */
  RemoteWrites(
      PeerNetwork network,
      TimerService timer,
      WritePath direct,
      Supplier<Optional<InstanceId>> writer,
      SilentWriter silent,
      Duration timeout) {
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
    this.direct = requireNonNull(direct, "direct");
    this.writer = requireNonNull(writer, "writer");
    this.silent = requireNonNull(silent, "silent");
    this.timeout = requireNonNull(timeout, "timeout");
  }

  private record Pending(Write write, CompletableFuture<WriteResult> result) {}

  @Override
  public CompletableFuture<WriteResult> write(Write write) {
    Pending pending = new Pending(requireNonNull(write, "write"), new CompletableFuture<>());
    queue.add(pending);
    if (waking.compareAndSet(false, true)) {
      timer.after(LINGER, this::flush);
    }
    return pending.result().copy();
  }

  private void flush() {
    waking.set(false);
    List<Pending> batch = take();
    while (!batch.isEmpty()) {
      send(batch);
      batch = take();
    }
  }

  private List<Pending> take() {
    List<Pending> batch = new ArrayList<>();
    Pending next = queue.poll();
    while (next != null) {
      batch.add(next);
      next = batch.size() < MAX_ROWS ? queue.poll() : null;
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
            .call(receiver.get(), message, timeout)
            .whenComplete(
                (answer, failure) -> {
                  if (failure == null) {
                    onAnswer(batch, answer);
                  } else {
                    silent.record(receiver.get());
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
      leaveInDoubt(batch, "malformed answer of the writer");
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
      leaveInDoubt(batch, "no answer of the writer");
    }
  }

  private void writeDirectly(Pending pending) {
    var unused = direct.write(pending.write()).thenAccept(pending.result()::complete);
  }

  private static void leaveInDoubt(List<Pending> batch, String detail) {
    batch.forEach(pending -> pending.result().complete(new WriteResult.Ambiguous(detail)));
  }
}
