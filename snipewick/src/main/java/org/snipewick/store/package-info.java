/**
 * Interfaces to the services of the platform: transactional tables, object store, store of model
 * weights and list of instances. Calls are asynchronous and report failures as values or failed
 * futures. On these interfaces build a mirror that follows a table's changes and a resolver of
 * writes whose response was lost.
 */
package org.snipewick.store;
