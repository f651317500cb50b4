package org.snipewick.pool;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Asks the scheduler of a pool, wherever it runs, for permission to dispatch. */
public interface PoolClient {

  /**
   * Waits for permission to dispatch a request. If the scheduler changes or dies meanwhile, the
   * request is offered to the next one with the time that it has waited.
   *
   * @param work request
   * @param onCancel called when the scheduler wants the granted request cancelled
   * @return permission; fails with the {@link org.snipewick.failure.Failure} of a refusal, always
   *     with {@link org.snipewick.failure.Outcome#NOT_RUN}
   */
  CompletableFuture<Permit> acquire(WorkRequest work, Consumer<Decision.Cancel> onCancel);

  /** Permission to dispatch one request to one endpoint, once. */
  interface Permit {

    /**
     * Returns the endpoint.
     *
     * @return where to dispatch
     */
    EndpointStatus endpoint();

    /**
     * Takes the permission up; to be called right before the dispatch.
     *
     * @return false if it has lapsed or was taken up before, and nothing may be dispatched
     */
    boolean use();

    /** Tells the scheduler that the first output token arrived. */
    void firstToken();

    /**
     * Tells the scheduler how far the answer is; cheap, may be called for each token.
     *
     * @param outputTokens output tokens so far
     */
    void progress(int outputTokens);

    /**
     * Tells the scheduler that the request left its endpoint; must be called once.
     *
     * @param result how it ended
     * @param outputTokens output tokens in all
     */
    void finish(WorkEvent.Result result, int outputTokens);
  }
}
