/** Settings of an entry instance: a YAML file that is fully validated before anything starts. */
package org.snipewick.settings;
