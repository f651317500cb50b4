package org.snipewick.endpoint;

import static java.util.Objects.requireNonNull;

/**
 * Clients of both kinds of endpoint.
 *
 * @param engines client of model engines
 * @param services client of plain services
 */
public record EndpointClients(EngineClient engines, ServiceClient services) {

  /** Checks that no component is null. */
  public EndpointClients {
    requireNonNull(engines, "engines");
    requireNonNull(services, "services");
  }
}
