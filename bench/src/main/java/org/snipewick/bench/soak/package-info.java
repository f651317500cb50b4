/** Randomized faults on a cluster of real processes, and what callers must see meanwhile. */
package org.snipewick.bench.soak;
