/**
 * Brokers: instances that place the requests of a pool for all instances of their failure domain.
 *
 * <p>Part of {@link org.snipewick.platform.FrontProcess}; {@link org.snipewick.pool} is the
 * counterpart in the entry process.
 */
package org.snipewick.broker;
