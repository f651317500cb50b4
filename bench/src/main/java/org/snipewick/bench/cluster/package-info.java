/** Entry instances and stand-ins as processes on one machine, for tests and measurements. */
package org.snipewick.bench.cluster;
