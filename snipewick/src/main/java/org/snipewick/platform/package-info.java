/**
 * Adapter to the users' platform: the only package that depends on the platform's settings file,
 * the formats of its store and the names of its headers. It converts them to the types of this
 * system.
 */
package org.snipewick.platform;
