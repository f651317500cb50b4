/** Settings of an entry instance: a YAML file, checked whole before anything starts. */
package org.snipewick.settings;
