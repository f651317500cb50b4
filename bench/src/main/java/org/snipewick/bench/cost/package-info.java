/** Measures what control and the path of a request cost, with real processes and stand-ins. */
package org.snipewick.bench.cost;
