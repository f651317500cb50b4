package org.snipewick.standins.service;

import static java.util.Objects.requireNonNull;

/**
 * Settings of a stand-in service.
 *
 * @param id name of the replica
 * @param name name of the service
 * @param maxInFlight maximum number of running calls; further ones are rejected
 * @param workMillis service time of a call in milliseconds
 */
public record ServiceSettings(String id, String name, int maxInFlight, long workMillis) {

  /**
   * Checks the settings.
   *
   * @throws IllegalArgumentException if a number is out of range
   */
  public ServiceSettings {
    requireNonNull(id, "id");
    requireNonNull(name, "name");
    if (maxInFlight < 1 || workMillis < 0) {
      throw new IllegalArgumentException("Settings of the service are out of range");
    }
  }
}
