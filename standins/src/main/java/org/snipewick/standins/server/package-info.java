/**
 * HTTP server that all stand-ins share, with fault injection, control calls, rate limits and values
 * that can be read with a lag.
 */
package org.snipewick.standins.server;
