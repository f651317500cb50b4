package org.snipewick.pool;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Requests permits to dispatch from the scheduler of a pool, on whichever instance it runs. */
public interface PoolClient {

  /**
   * Requests a permit to dispatch a request. If the scheduler changes or fails meanwhile, the
   * request is offered to the next one together with the time that it has waited. Cancelling the
   * returned future withdraws the request.
   *
   * @param work request
   * @param onCancel called when the scheduler requires the granted request to be cancelled
   * @return permit; completes exceptionally with the {@link org.snipewick.failure.Failure} of a
   *     refusal, always with {@link org.snipewick.failure.Outcome#NOT_RUN}
   */
  CompletableFuture<Permit> acquire(WorkRequest work, Consumer<Decision.Cancel> onCancel);

  /** Permit to dispatch one request to one endpoint, once. */
  interface Permit {

    /**
     * Returns the endpoint to dispatch to.
     *
     * @return status of the endpoint at the time of the grant
     */
    EndpointStatus endpoint();

    /**
     * Marks the permit as used; to be called right before the dispatch.
     *
     * @return false if it has expired or was used before; the request must not be dispatched then
     */
    boolean use();

    /** Reports to the scheduler that the first output token arrived. */
    void reportFirstToken();

    /**
     * Records the progress of the answer, which the next heartbeat reports to the scheduler. Cheap;
     * may be called for each token.
     *
     * @param outputTokens number of output tokens so far
     */
    void reportProgress(int outputTokens);

    /**
     * Reports to the scheduler that the request has ended at its endpoint. Must be called once;
     * further calls have no effect.
     *
     * @param result how it ended
     * @param outputTokens total number of output tokens
     */
    void finish(WorkEvent.Result result, int outputTokens);
  }
}
