/**
 * Tests of the access to the platform and of the front process, against the stand-in platform with
 * its faults.
 */
package org.snipewick.systemtests.platform;
