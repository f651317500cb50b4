/** Command line of the one binary. */
package org.snipewick.cli;
