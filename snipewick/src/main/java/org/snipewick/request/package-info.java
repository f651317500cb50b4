/**
 * Processing of callers' requests by a chain of filters, from receipt to the end of the answer.
 *
 * <p>A call is one HTTP request of a caller, with a request identifier of its own. Calls of one
 * team with the same idempotency key are duplicates of one request.
 *
 * <p>Part of {@link org.snipewick.entry.EntryProcess}; {@link org.snipewick.relay} is the
 * counterpart in the process on the users' platform.
 */
package org.snipewick.request;
