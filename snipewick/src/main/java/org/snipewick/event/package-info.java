/**
 * Log events: each has a numbered type, is written to the log and is kept in a bounded timeline in
 * memory.
 */
package org.snipewick.event;
