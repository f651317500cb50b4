/**
 * Messages between entry instances: the network interface, the frames of the protocol and their
 * encoding in MessagePack.
 */
package org.snipewick.peer;
