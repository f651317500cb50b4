/**
 * Clocks and timers. Decisions that depend on time use {@link org.snipewick.time.TimerService},
 * which runs on the system clocks or on virtual time.
 */
package org.snipewick.time;
