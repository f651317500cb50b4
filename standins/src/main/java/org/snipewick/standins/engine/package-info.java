/** The stand-in for a model engine that batches continuously and caches prompt prefixes. */
package org.snipewick.standins.engine;
