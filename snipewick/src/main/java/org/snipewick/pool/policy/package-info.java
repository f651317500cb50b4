/**
 * Parts of a pool's scheduling policy: learned models of speed and answer length, queue order,
 * admission and placement. All of it is plain data and arithmetic, without threads or sockets, and
 * not thread-safe.
 */
package org.snipewick.pool.policy;
