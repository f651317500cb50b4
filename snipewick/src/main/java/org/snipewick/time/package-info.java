/** Clocks and timers, real or virtual. */
package org.snipewick.time;
