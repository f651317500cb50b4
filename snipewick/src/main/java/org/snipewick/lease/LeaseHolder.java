package org.snipewick.lease;

import static java.util.Objects.requireNonNull;

/**
 * Process that may hold leases.
 *
 * @param instance name of the instance
 * @param incarnation start of the process, in milliseconds since the Unix epoch
 */
record LeaseHolder(String instance, long incarnation) {

  LeaseHolder {
    requireNonNull(instance, "instance");
  }

  boolean holds(LeaseRow row) {
    return row.holder().equals(instance) && row.incarnation() == incarnation;
  }

  LeaseRow row(long fencing, LeaseSettings settings) {
    return new LeaseRow(instance, incarnation, fencing, settings.duration().toMillis());
  }
}
