/**
 * Placement of waiting requests at the endpoints of a pool by an entry instance: which request is
 * next, which endpoint gets it, which requests are refused and when to retry them. Has no input or
 * output of its own; the current time is passed as an argument.
 *
 * <p>Part of {@link org.snipewick.platform.FrontProcess}; {@link org.snipewick.pool} is the
 * counterpart in the entry process.
 */
package org.snipewick.placement;
