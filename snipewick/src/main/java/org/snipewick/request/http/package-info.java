/** The callers' HTTP front. */
package org.snipewick.request.http;
