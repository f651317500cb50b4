/**
 * Scheduler of one pool of endpoints in one failure domain, and the client that requests grants
 * from it. A scheduler queues requests by tier, grants each an endpoint, and refuses or sheds those
 * that cannot meet their deadline. The entry instance of a request is the one that received it from
 * the caller and dispatches it.
 *
 * <p>Part of {@link org.snipewick.entry.EntryProcess}; {@link org.snipewick.placement} is the
 * counterpart in the process on the users' platform.
 */
package org.snipewick.pool;
