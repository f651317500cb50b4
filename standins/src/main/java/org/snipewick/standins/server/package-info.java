/**
 * What all stand-ins share: HTTP server, faults, control address, rate limits and lagging values.
 */
package org.snipewick.standins.server;
