package org.snipewick.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.snipewick.identity.FailureDomain;

/**
 * The platform's list of entry instances and endpoints, both live and leaving ones. It is
 * eventually consistent: an instance is added and removed with a delay.
 */
public interface InstanceList {

  /**
   * Returns all listed instances.
   *
   * @return entry instances and endpoints of all failure domains; fails with {@link
   *     org.snipewick.failure.FailureType#PLATFORM_UNAVAILABLE} if the list cannot be read
   */
  CompletableFuture<List<ListedInstance>> list();

  /**
   * Returns the entry instances, which are the processes of this system.
   *
   * @return entry instances of all failure domains; fails as {@link #list} does
   */
  default CompletableFuture<List<ListedInstance>> entryInstances() {
    return list().thenApply(all -> all.stream().filter(ListedInstance::isEntry).toList());
  }

  /**
   * Returns the endpoints of a failure domain.
   *
   * @param domain failure domain
   * @return its model engines and plain services; fails as {@link #list} does
   */
  default CompletableFuture<List<ListedInstance>> endpointsIn(FailureDomain domain) {
    return list()
        .thenApply(all -> all.stream().filter(instance -> instance.isEndpointIn(domain)).toList());
  }
}
