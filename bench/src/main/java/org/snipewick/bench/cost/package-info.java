/**
 * Measures what control and requests cost with real processes: processor time, memory and bytes
 * between instances, and the latency that scheduling adds to a request.
 */
package org.snipewick.bench.cost;
