/** Tests of the stand-in service. */
package org.snipewick.standins.service;
