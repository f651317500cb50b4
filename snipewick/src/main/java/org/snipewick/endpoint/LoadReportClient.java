package org.snipewick.endpoint;

import java.util.concurrent.CompletableFuture;
import org.snipewick.pool.EndpointStatus;

/** Reads the load reports of endpoints. */
@FunctionalInterface
public interface LoadReportClient {

  /**
   * Reads a report.
   *
   * @param endpoint endpoint
   * @return report; fails with {@link org.snipewick.failure.FailureType#NO_ENDPOINT}
   */
  CompletableFuture<LoadReport> read(EndpointStatus endpoint);
}
