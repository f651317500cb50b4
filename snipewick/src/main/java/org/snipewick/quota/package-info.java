/** Quotas of teams that hold over all instances. */
package org.snipewick.quota;
