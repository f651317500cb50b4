/** Measures scheduling policies in virtual time against small fakes of engines. */
package org.snipewick.bench.policy;
