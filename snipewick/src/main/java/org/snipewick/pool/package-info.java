/** Scheduling of one pool of endpoints in one failure domain: queue, admission, shedding. */
package org.snipewick.pool;
