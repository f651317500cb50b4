/**
 * Leases in the platform's table, each held by one process at a time, and orders to endpoints that
 * are sent under a lease with its fencing number.
 */
package org.snipewick.lease;
