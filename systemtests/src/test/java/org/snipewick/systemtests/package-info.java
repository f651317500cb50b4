/** Tests with real processes: the binary, the stand-ins, and faults that strike processes. */
package org.snipewick.systemtests;
