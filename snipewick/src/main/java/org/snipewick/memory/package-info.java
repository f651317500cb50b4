/**
 * Limit for all bytes that a process keeps for callers and endpoints.
 *
 * <p>Independent of networks and timers; {@link org.snipewick.relay} asks it before it keeps bytes.
 */
package org.snipewick.memory;
