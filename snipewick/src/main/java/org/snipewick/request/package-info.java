/**
 * Processing of callers' requests by a chain of filters, from receipt to the end of the answer.
 *
 * <p>A call is one HTTP request of a caller, with a request identifier of its own. Calls of one
 * team with the same idempotency key are duplicates of one request.
 */
package org.snipewick.request;
