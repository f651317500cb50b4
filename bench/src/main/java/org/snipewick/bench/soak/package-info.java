/** Runs a cluster of real processes under random faults and checks the guarantees to callers. */
package org.snipewick.bench.soak;
