package org.snipewick.request;

import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.snipewick.failure.Failure;
import org.snipewick.idempotency.KeyState;
import org.snipewick.idempotency.KeyedRequest;
import org.snipewick.idempotency.RequestLedger;
import org.snipewick.idempotency.StoredAnswer;

/** In-memory ledger that records how each call ended; its claims wait for {@link #claimGate}. */
public final class FakeLedger implements RequestLedger {
  public final Map<String, KeyState> states = new ConcurrentHashMap<>();
  public final BlockingQueue<String> recordedEnds = new LinkedBlockingQueue<>();
  public volatile Failure refusal;
  public volatile CompletableFuture<Void> claimGate = CompletableFuture.completedFuture(null);

  @Override
  public CompletableFuture<KeyState> claim(KeyedRequest request) {
    if (refusal != null) {
      return CompletableFuture.failedFuture(refusal.toException());
    }
    return claimGate.thenApply(
        open -> {
          KeyState before = states.putIfAbsent(request.scopedKey(), new KeyState.InProgress());
          return before == null ? new KeyState.Fresh() : before;
        });
  }

  @Override
  public CompletableFuture<Void> releaseNotRun(KeyedRequest request) {
    states.remove(request.scopedKey());
    return recordEnd("released");
  }

  @Override
  public CompletableFuture<Void> complete(KeyedRequest request, StoredAnswer answer) {
    states.put(request.scopedKey(), new KeyState.Ran(answer));
    return recordEnd("complete");
  }

  @Override
  public CompletableFuture<Void> markUnknown(KeyedRequest request) {
    states.put(request.scopedKey(), new KeyState.Unknown());
    return recordEnd("unknown");
  }

  @Override
  public CompletableFuture<KeyState> lookup(KeyedRequest request) {
    return CompletableFuture.completedFuture(
        states.getOrDefault(request.scopedKey(), new KeyState.Fresh()));
  }

  /** Waits at most 10 s for the next recorded end of a call; null if there is none. */
  public String awaitRecordedEnd() throws InterruptedException {
    return recordedEnds.poll(10, TimeUnit.SECONDS);
  }

  private CompletableFuture<Void> recordEnd(String end) {
    recordedEnds.add(end);
    return CompletableFuture.completedFuture(null);
  }
}
