/**
 * Registry of the listed endpoints, which keeps those whose entries lapsed in an outage of the
 * list.
 */
package org.snipewick.registry;
