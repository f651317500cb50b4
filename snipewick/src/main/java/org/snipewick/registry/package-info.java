/**
 * Registry of the listed endpoints. Endpoints whose entries lapsed in an outage of the list are
 * kept for a grace period.
 *
 * <p>Part of {@link org.snipewick.platform.FrontProcess}; {@link org.snipewick.discovery} is the
 * counterpart in the entry process.
 */
package org.snipewick.registry;
