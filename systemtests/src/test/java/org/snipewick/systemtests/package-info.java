/**
 * System tests with real processes: instances of this system, stand-ins, and faults that are
 * injected into processes and the links between them.
 */
package org.snipewick.systemtests;
