package org.snipewick.membership;

import org.snipewick.identity.InstanceId;

/** Version number that rides on heartbeats, so that whoever is behind learns who is ahead. */
public interface VersionGossip {

  /**
   * Returns the version in force on this instance.
   *
   * @return version
   */
  long version();

  /**
   * Notes the version in force on another instance; called on the timer's thread.
   *
   * @param from the other instance
   * @param version its version
   */
  void heard(InstanceId from, long version);

  /**
   * Returns gossip that carries nothing.
   *
   * @return version 0, deaf
   */
  static VersionGossip none() {
    return new VersionGossip() {
      @Override
      public long version() {
        return 0;
      }

      @Override
      public void heard(InstanceId from, long version) {
        // Nothing rides on these heartbeats.
      }
    };
  }
}
