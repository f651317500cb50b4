package org.snipewick.endpoint;

import java.util.concurrent.CompletableFuture;
import org.snipewick.pool.EndpointStatus;

/** Client that reads the load reports of endpoints. */
@FunctionalInterface
public interface LoadReportClient {

  /**
   * Reads the load report of an endpoint.
   *
   * @param endpoint endpoint to read from
   * @return report; fails with {@link org.snipewick.failure.FailureType#NO_ENDPOINT} if the report
   *     cannot be read
   */
  CompletableFuture<LoadReport> read(EndpointStatus endpoint);
}
