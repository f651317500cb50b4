/**
 * The catalogue: versioned configuration, edited by operators, of teams, models, services and
 * endpoints, with their owners, tiers and limits.
 *
 * <p>Part of {@link org.snipewick.entry.EntryProcess}; {@link org.snipewick.route} is the
 * counterpart in the process on the users' platform.
 */
package org.snipewick.catalogue;
