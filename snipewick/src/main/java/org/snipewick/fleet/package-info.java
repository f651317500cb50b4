/** Discovery of the instances through the store, and the reports and proofs that they exchange. */
package org.snipewick.fleet;
