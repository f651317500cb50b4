package org.snipewick.request;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.snipewick.failure.Failure;
import org.snipewick.pool.Decision;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.pool.PoolClient;
import org.snipewick.pool.WorkEvent;
import org.snipewick.pool.WorkRequest;

/** Pool client that grants the endpoints round-robin, at once or on {@link #grantHeld}. */
public final class FakePool implements PoolClient {
  public final List<WorkRequest> offered = new CopyOnWriteArrayList<>();
  public final AtomicInteger withdrawals = new AtomicInteger();
  public final BlockingQueue<WorkEvent.Result> results = new LinkedBlockingQueue<>();
  public volatile Consumer<Decision.Cancel> cancel = decision -> {};
  public volatile boolean holdsRequests;
  public volatile boolean permitsExpired;
  public volatile Failure refusal;
  private final BlockingQueue<CompletableFuture<Permit>> held = new LinkedBlockingQueue<>();
  private final AtomicInteger grants = new AtomicInteger();
  private volatile List<EndpointStatus> endpoints = List.of();

  public void setEndpoints(EndpointStatus... all) {
    endpoints = List.of(all);
  }

  @Override
  public CompletableFuture<Permit> acquire(WorkRequest work, Consumer<Decision.Cancel> onCancel) {
    offered.add(work);
    cancel = onCancel;
    if (refusal != null) {
      return CompletableFuture.failedFuture(refusal.toException());
    }
    CompletableFuture<Permit> grant = new CompletableFuture<>();
    if (holdsRequests) {
      held.add(grant);
    } else {
      grant.complete(permit());
    }
    return grant;
  }

  /** Grants the request held longest, and counts it if it was withdrawn. */
  public void grantHeld() throws InterruptedException {
    if (!held.poll(10, TimeUnit.SECONDS).complete(permit())) {
      withdrawals.incrementAndGet();
    }
  }

  /** Waits until a request is held, without granting it. */
  public void awaitHeld() throws InterruptedException {
    CompletableFuture<Permit> first = held.poll(10, TimeUnit.SECONDS);
    held.add(first);
  }

  /** Waits at most 10 s for the next end of a permit; null if there is none. */
  public WorkEvent.Result awaitResult() throws InterruptedException {
    return results.poll(10, TimeUnit.SECONDS);
  }

  private Permit permit() {
    EndpointStatus endpoint = endpoints.get(grants.getAndIncrement() % endpoints.size());
    AtomicBoolean used = new AtomicBoolean(permitsExpired);
    return new Permit() {
      @Override
      public EndpointStatus endpoint() {
        return endpoint;
      }

      @Override
      public boolean use() {
        return used.compareAndSet(false, true);
      }

      @Override
      public void reportFirstToken() {}

      @Override
      public void reportProgress(int outputTokens) {}

      @Override
      public void finish(WorkEvent.Result result, int outputTokens) {
        results.add(result);
      }
    };
  }
}
