/**
 * Membership of the entry instances: which of them are alive, detected by heartbeats within a
 * failure domain and spread by gossip between domains, and whether the local instance is active.
 *
 * <p>Part of {@link org.snipewick.entry.EntryProcess}; {@link org.snipewick.fleet} is the
 * counterpart in the process on the users' platform.
 */
package org.snipewick.membership;
