/**
 * Interfaces to the services of the platform: transactional tables, object store, store of model
 * weights and list of instances. Calls are asynchronous and report failures as values or failed
 * futures.
 */
package org.snipewick.store;
