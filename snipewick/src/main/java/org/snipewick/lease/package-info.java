/** Duties with one holder: leases in the platform's table, and orders to endpoints with fencing. */
package org.snipewick.lease;
