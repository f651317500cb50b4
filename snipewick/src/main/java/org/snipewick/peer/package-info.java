/** Messages between entry instances: framed MessagePack over TCP. */
package org.snipewick.peer;
