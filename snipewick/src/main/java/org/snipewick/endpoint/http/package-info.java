/** HTTP clients of endpoints. The formats are described in {@code docs/FORMATS.md}. */
package org.snipewick.endpoint.http;
