/** Numbered log events and the time line over all processes. */
package org.snipewick.event;
