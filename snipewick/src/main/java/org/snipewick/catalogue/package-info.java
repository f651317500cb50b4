/** The operators' catalogue: entries with owner, class and limits, and its versions. */
package org.snipewick.catalogue;
