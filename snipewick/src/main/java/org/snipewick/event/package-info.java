/** Log events: each has a number, is written to the log and is kept for a while in a timeline. */
package org.snipewick.event;
