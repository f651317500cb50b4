package org.snipewick.bench.cost;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.snipewick.bench.cluster.Cluster;

/**
 * What the entry instances of a cluster have used so far.
 *
 * @param atNanos monotonic time of the sample
 * @param processorNanos processor time of all instances
 * @param bytes bytes sent to and received from peers, by all instances
 * @param heapBytes heap in use, summed over all instances
 * @param residentBytes memory that the system has given to the processes, summed over all instances
 */
record Sample(long atNanos, long processorNanos, long bytes, long heapBytes, long residentBytes) {
  private static final double NANOS_PER_SECOND = 1e9;

  static Sample of(Cluster cluster, List<String> instances) {
    long processor = 0;
    long bytes = 0;
    long heap = 0;
    long resident = 0;
    for (String instance : instances) {
      JsonNode status = cluster.getAsOperator(instance, "/admin/status");
      bytes += status.path("peerBytes").path("sent").asLong();
      bytes += status.path("peerBytes").path("received").asLong();
      heap += status.path("heapBytes").asLong();
      resident += cluster.process(instance).residentBytes();
      processor += cluster.process(instance).processorTime().toNanos();
    }
    return new Sample(System.nanoTime(), processor, bytes, heap, resident);
  }

  /** Returns the use per instance since an earlier sample. */
  Use since(Sample earlier, int instances) {
    double seconds = (atNanos - earlier.atNanos) / NANOS_PER_SECOND;
    return new Use(
        (processorNanos - earlier.processorNanos) / NANOS_PER_SECOND / seconds / instances,
        (bytes - earlier.bytes) / seconds / instances,
        heapBytes / instances,
        residentBytes / instances);
  }

  /**
   * Use of one instance on average.
   *
   * @param cores processor time per time
   * @param bytesPerSecond bytes sent and received per second
   * @param heapBytes heap in use
   * @param residentBytes memory that the system has given to the process
   */
  record Use(double cores, double bytesPerSecond, long heapBytes, long residentBytes) {

    /** Returns this use with the memory of a later sample. */
    Use withMemory(Sample later, int instances) {
      return new Use(
          cores, bytesPerSecond, later.heapBytes / instances, later.residentBytes / instances);
    }
  }
}
