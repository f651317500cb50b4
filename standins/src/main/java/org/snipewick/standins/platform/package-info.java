/**
 * Stand-in for the platform: a store of rows and objects, with feeds of changes, in which endpoints
 * and entry instances are registered.
 */
package org.snipewick.standins.platform;
