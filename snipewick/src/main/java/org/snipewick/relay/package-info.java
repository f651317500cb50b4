/**
 * Front that relays requests of any method and content: finds route and team, places the request at
 * an endpoint and passes the answer on as it arrives.
 */
package org.snipewick.relay;
