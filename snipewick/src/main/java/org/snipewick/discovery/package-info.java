/** Which endpoints a pool has: read from the platform once per domain, told to the schedulers. */
package org.snipewick.discovery;
