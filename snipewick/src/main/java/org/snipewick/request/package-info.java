/** The path of a caller's request: a chain of filters from its receipt to its delivery. */
package org.snipewick.request;
