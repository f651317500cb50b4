/** Administration over HTTP, apart from the callers' address: routes, operators, answers. */
package org.snipewick.admin;
