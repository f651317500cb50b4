/**
 * HTTP relay for requests of any method and content: finds the route and the team of a request,
 * holds it until an endpoint has a free slot, and forwards the response as it arrives.
 */
package org.snipewick.relay;
