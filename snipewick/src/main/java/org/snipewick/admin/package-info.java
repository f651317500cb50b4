/**
 * Administrative API over HTTP, on another address than the callers': server, routes, operators.
 */
package org.snipewick.admin;
