/** Process of an entry instance: creates its components, starts them and stops them in order. */
package org.snipewick.entry;
