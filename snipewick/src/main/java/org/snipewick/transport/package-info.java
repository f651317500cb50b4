/** HTTP over one event loop: exchanges that can be cancelled, connections that are watched. */
package org.snipewick.transport;
