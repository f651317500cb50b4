/**
 * Endpoint discovery: one instance per failure domain reads the platform's list and sends it to the
 * others, and each instance passes the status of the endpoints to its schedulers.
 *
 * <p>Part of {@link org.snipewick.entry.EntryProcess}; {@link org.snipewick.registry} is the
 * counterpart in the process on the users' platform.
 */
package org.snipewick.discovery;
