/**
 * Bodies of requests, which are kept in memory until their calls end. Bounds what callers can use
 * up by bodies that do not end: memory, and time of the event loop.
 */
package org.snipewick.body;
