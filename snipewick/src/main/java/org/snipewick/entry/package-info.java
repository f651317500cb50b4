/** The process of an entry instance: builds all parts, starts and stops them in order. */
package org.snipewick.entry;
