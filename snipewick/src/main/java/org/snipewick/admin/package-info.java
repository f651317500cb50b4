/**
 * Administrative HTTP API of an instance, on an address of its own: the server, its routes and the
 * operators that may use them.
 */
package org.snipewick.admin;
