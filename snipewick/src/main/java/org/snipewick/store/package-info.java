/** The platform's services as small interfaces: table, object store, list of instances. */
package org.snipewick.store;
