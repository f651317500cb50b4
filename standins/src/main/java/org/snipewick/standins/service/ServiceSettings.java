package org.snipewick.standins.service;

import static java.util.Objects.requireNonNull;

/**
 * Settings of a plain service.
 *
 * @param id name of the replica
 * @param name name of the service
 * @param maxInFlight calls that run at once; further ones are refused
 * @param workMillis time of one call in milliseconds
 */
public record ServiceSettings(String id, String name, int maxInFlight, long workMillis) {

  /** Checks the settings. */
  public ServiceSettings {
    requireNonNull(id, "id");
    requireNonNull(name, "name");
    if (maxInFlight < 1 || workMillis < 0) {
      throw new IllegalArgumentException("Settings of the service are out of range");
    }
  }
}
