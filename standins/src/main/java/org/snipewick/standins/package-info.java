/** Small programs that take the place of the platform, of model engines and of plain services. */
package org.snipewick.standins;
