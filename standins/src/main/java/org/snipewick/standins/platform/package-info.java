/** The stand-in for the platform: table, object store, instance list and weight store. */
package org.snipewick.standins.platform;
