/** Time as a service that parts of the program subscribe to, real or virtual. */
package org.snipewick.time;
