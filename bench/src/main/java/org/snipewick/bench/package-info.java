/**
 * Command line of the measurements: scheduling policies in virtual time ({@code policy}), the cost
 * of control and of requests ({@code cost}), and runs under random faults ({@code soak}). The last
 * two, like the system tests, start their processes with {@code cluster}.
 */
package org.snipewick.bench;
