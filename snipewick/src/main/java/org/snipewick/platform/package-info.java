/**
 * Adapter to the users' platform: the only package that depends on the platform's settings file,
 * the formats of its store and the names of its headers. It converts them to the types of this
 * system, and its {@link org.snipewick.platform.FrontProcess} creates and connects the components
 * of a process that runs on the platform.
 */
package org.snipewick.platform;
