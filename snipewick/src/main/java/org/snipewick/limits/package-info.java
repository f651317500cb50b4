/**
 * Enforcement of team limits over all instances by leased shares of each limit.
 *
 * <p>Part of {@link org.snipewick.entry.EntryProcess}; {@link org.snipewick.quota} is the
 * counterpart in the process on the users' platform.
 */
package org.snipewick.limits;
