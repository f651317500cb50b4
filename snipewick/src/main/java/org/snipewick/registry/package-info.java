/**
 * Registry of the listed endpoints, which keeps those whose entries lapsed in an outage of the
 * list.
 *
 * <p>Part of {@link org.snipewick.platform.FrontProcess}; {@link org.snipewick.discovery} is the
 * counterpart in the entry process.
 */
package org.snipewick.registry;
