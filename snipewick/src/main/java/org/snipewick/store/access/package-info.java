/**
 * Access to the platform's store that many instances share: batched writes, budgeted repeats, fast
 * failure. The calls themselves are an interface that the adapter to the platform implements.
 */
package org.snipewick.store.access;
