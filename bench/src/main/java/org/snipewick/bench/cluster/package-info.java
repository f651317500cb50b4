/**
 * Runs clusters of entry instances and stand-ins as processes on one host, for tests and
 * measurements.
 */
package org.snipewick.bench.cluster;
