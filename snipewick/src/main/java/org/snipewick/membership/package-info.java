/** Which entry instances are alive: heartbeats, suspicion, views. */
package org.snipewick.membership;
