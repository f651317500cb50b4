/** Simulates scheduling policies in virtual time on simple models of engines, and compares them. */
package org.snipewick.bench.policy;
