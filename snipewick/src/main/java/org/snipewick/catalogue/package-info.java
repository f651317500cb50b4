/**
 * The catalogue: versioned configuration, edited by operators, of teams, models, services and
 * endpoints, each with an owner, a tier and limits.
 */
package org.snipewick.catalogue;
