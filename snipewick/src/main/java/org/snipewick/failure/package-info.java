/** Typed failures and the promise that each makes about the request. */
package org.snipewick.failure;
