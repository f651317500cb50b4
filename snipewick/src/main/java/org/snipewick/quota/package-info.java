/** Enforcement of team quotas over all instances by exchange of each instance's spending. */
package org.snipewick.quota;
