/** Tests of the stand-in engine. */
package org.snipewick.standins.engine;
