/** The instances of the system: how they find each other, and what they tell each other. */
package org.snipewick.fleet;
