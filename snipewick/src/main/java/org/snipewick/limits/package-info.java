/** Limits of teams, held over all instances. */
package org.snipewick.limits;
