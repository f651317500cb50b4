/**
 * Programs that stand in for the platform, model engines and plain services in tests and benches.
 */
package org.snipewick.standins;
