/**
 * Shared reads of the store: in a large fleet, a few readers in each failure domain poll the store,
 * and the other instances, the followers, obtain the same changes and proofs from a reader.
 */
package org.snipewick.feed;
