/** Stand-in for a plain service that counts the effects of its calls. */
package org.snipewick.standins.service;
