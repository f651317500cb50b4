/**
 * Runs clusters of entry instances and stand-ins, or a front process and a stand-in, as processes
 * on one host, for tests and measurements.
 */
package org.snipewick.bench.cluster;
