/**
 * Enforcement of team quotas over all instances, which report their spending to each other.
 *
 * <p>Part of {@link org.snipewick.platform.FrontProcess}; {@link org.snipewick.limits} is the
 * counterpart in the entry process.
 */
package org.snipewick.quota;
