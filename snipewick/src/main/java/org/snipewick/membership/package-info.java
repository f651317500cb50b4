/**
 * Membership of the entry instances: which of them are alive, detected by heartbeats within a
 * failure domain and spread by gossip between domains, and whether the local instance is active.
 */
package org.snipewick.membership;
