/** Stand-in for a model engine with continuous batching and a cache of prompt prefixes. */
package org.snipewick.standins.engine;
