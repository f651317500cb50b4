/** Measures the HTTP client that receives the responses of endpoints. */
package org.snipewick.bench.response;
