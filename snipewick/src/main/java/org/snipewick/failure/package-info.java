/**
 * Typed failures. Each states whether the request ran, and they are sent to callers as problem
 * documents (RFC 9457).
 */
package org.snipewick.failure;
