/**
 * Placement of waiting requests at the endpoints of a pool by one instance: which request is next,
 * which endpoint receives it, which requests are refused and when to retry them. Performs no I/O;
 * the current time is passed as an argument.
 *
 * <p>Part of {@link org.snipewick.platform.FrontProcess}; {@link org.snipewick.pool} is the
 * counterpart in the entry process.
 */
package org.snipewick.placement;
