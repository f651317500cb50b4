/** Names of the things that the system knows: instances, failure domains, endpoints, requests. */
package org.snipewick.identity;
