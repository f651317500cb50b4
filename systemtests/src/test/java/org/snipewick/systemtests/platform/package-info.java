/** Contract tests of the access to the platform, against the stand-in platform with its faults. */
package org.snipewick.systemtests.platform;
