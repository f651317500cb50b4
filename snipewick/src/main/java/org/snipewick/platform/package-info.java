/**
 * Adapter to the users' platform: the only place that knows its settings file, the formats of its
 * store and the names of its headers. It decodes them once into the product's own types.
 */
package org.snipewick.platform;
