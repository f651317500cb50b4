package org.snipewick.bench.cost;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.snipewick.bench.cluster.Cluster;

/**
 * Resources that the entry instances of a cluster have used at one moment, summed over all
 * instances.
 *
 * @param takenNanos time of the sample, by {@link System#nanoTime}
 * @param processorNanos processor time since the processes started, in nanoseconds
 * @param bytes bytes sent to and received from peers since the processes started
 * @param heapBytes heap in use
 * @param residentBytes resident memory of the processes
 */
record ResourceSample(
    long takenNanos, long processorNanos, long bytes, long heapBytes, long residentBytes) {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Reads the status of the given instances and the statistics of their processes. */
  static ResourceSample of(Cluster cluster, List<String> instances) {
    long processorNanos = 0;
    long bytes = 0;
    long heapBytes = 0;
    long residentBytes = 0;
    for (String instance : instances) {
      JsonNode status = cluster.getAsOperator(instance, "/admin/status");
      bytes += status.path("peerBytes").path("sent").asLong();
      bytes += status.path("peerBytes").path("received").asLong();
      heapBytes += status.path("heapBytes").asLong();
      residentBytes += cluster.process(instance).residentBytes();
      processorNanos += cluster.process(instance).processorTime().toNanos();
    }
    return new ResourceSample(System.nanoTime(), processorNanos, bytes, heapBytes, residentBytes);
  }

  /**
   * Returns the usage of one instance on average: processor time and bytes since an earlier sample,
   * and the memory of this sample.
   */
  Usage usageSince(ResourceSample earlier, int instances) {
    double seconds = (takenNanos - earlier.takenNanos) / NANOS_PER_SECOND;
    return new Usage(
        (processorNanos - earlier.processorNanos) / NANOS_PER_SECOND / seconds / instances,
        (bytes - earlier.bytes) / seconds / instances,
        heapBytes / instances,
        residentBytes / instances);
  }

  /**
   * Usage of one instance on average.
   *
   * @param cores processor time per elapsed time, where 1 is one core in full use
   * @param bytesPerSecond bytes sent to and received from peers per second
   * @param heapBytes heap in use
   * @param residentBytes resident memory of the process
   */
  record Usage(double cores, double bytesPerSecond, long heapBytes, long residentBytes) {

    /** Returns a copy with the memory of a later sample of the given number of instances. */
    Usage withMemory(ResourceSample later, int instances) {
      return new Usage(
          cores, bytesPerSecond, later.heapBytes / instances, later.residentBytes / instances);
    }
  }
}
