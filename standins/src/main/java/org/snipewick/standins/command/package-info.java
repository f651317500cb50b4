/** Command line of the stand-ins. */
package org.snipewick.standins.command;
