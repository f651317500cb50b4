/**
 * Endpoint discovery: one instance per failure domain reads the platform's list and sends it to the
 * others, and each instance passes the status of the endpoints to its schedulers.
 */
package org.snipewick.discovery;
