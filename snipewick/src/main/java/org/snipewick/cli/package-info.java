/** Command line of the program: parses arguments, runs a command and returns its exit code. */
package org.snipewick.cli;
