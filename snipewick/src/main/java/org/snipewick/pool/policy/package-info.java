/**
 * Parts of a pool's scheduling policy: learned speeds and lengths, order, admission, placement.
 * Everything here is plain data and arithmetic, without threads or sockets.
 */
package org.snipewick.pool.policy;
