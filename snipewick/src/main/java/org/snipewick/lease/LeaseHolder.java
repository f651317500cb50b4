package org.snipewick.lease;

import static java.util.Objects.requireNonNull;

/**
 * Process that can hold leases.
 *
 * @param instance name of the instance
 * @param incarnation start of the process, in milliseconds since the Unix epoch
 */
record LeaseHolder(String instance, long incarnation) {

  LeaseHolder {
    requireNonNull(instance, "instance");
  }

  /** Returns whether a row names this process as its holder. */
  boolean holds(LeaseRow row) {
    return row.holder().equals(instance) && row.incarnation() == incarnation;
  }

  /** Returns a row that names this process as the holder. */
  LeaseRow row(long fencing, LeaseSettings settings) {
    return new LeaseRow(instance, incarnation, fencing, settings.duration().toMillis());
  }
}
