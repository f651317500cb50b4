package org.snipewick.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.snipewick.identity.FailureDomain;

/** The platform's list of live and leaving instances; it lags behind the truth. */
public interface InstanceList {

  /**
   * Reads the list.
   *
   * @return instances; fails with {@link org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE}
   */
  CompletableFuture<List<ListedInstance>> list();

  /**
   * Reads the entry instances.
   *
   * @return entry instances of all failure domains; fails as {@link #list} does
   */
  default CompletableFuture<List<ListedInstance>> entries() {
    return list().thenApply(all -> all.stream().filter(ListedInstance::isEntry).toList());
  }

  /**
   * Reads the endpoints of a failure domain.
   *
   * @param domain failure domain
   * @return its engines and services; fails as {@link #list} does
   */
  default CompletableFuture<List<ListedInstance>> endpointsIn(FailureDomain domain) {
    return list()
        .thenApply(all -> all.stream().filter(instance -> instance.isEndpointIn(domain)).toList());
  }
}
