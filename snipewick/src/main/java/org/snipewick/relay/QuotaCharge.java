package org.snipewick.relay;

/**
 * Amount that was charged to the quota of a team for a request.
 *
 * @param amount amount in the unit of the quota
 * @param atNanos monotonic time of the charge, in nanoseconds
 */
record QuotaCharge(double amount, long atNanos) {}
