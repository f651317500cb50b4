/** Measurements of the product: policies in virtual time. */
package org.snipewick.bench;
