/**
 * Enforcement of team quotas over all instances by exchange of each instance's spending.
 *
 * <p>Part of {@link org.snipewick.platform.FrontProcess}; {@link org.snipewick.limits} is the
 * counterpart in the entry process.
 */
package org.snipewick.quota;
