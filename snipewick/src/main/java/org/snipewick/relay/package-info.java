/**
 * HTTP relay for requests of any method and content: finds the route and the team of a request,
 * queues it until an endpoint has a free slot, and forwards the response as it arrives.
 *
 * <p>Part of {@link org.snipewick.platform.FrontProcess}; {@link org.snipewick.request} is the
 * counterpart in the entry process.
 */
package org.snipewick.relay;
