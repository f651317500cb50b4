/** Tests of the stand-ins over HTTP. */
package org.snipewick.standins;
