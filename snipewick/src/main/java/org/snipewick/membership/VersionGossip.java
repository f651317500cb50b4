package org.snipewick.membership;

import org.snipewick.identity.InstanceId;

/**
 * Version number that heartbeats and digests carry, so that an instance with a stale version
 * detects which peers have a later one.
 */
public interface VersionGossip {

  /**
   * Returns the version in force on the local instance; called on the timer's thread.
   *
   * @return version in force
   */
  long version();

  /**
   * Receives the version in force on a peer; called on the timer's thread.
   *
   * @param from the peer
   * @param version its version
   */
  void onVersion(InstanceId from, long version);

  /**
   * Returns an implementation that always reports version 0 and ignores the versions of peers.
   *
   * @return implementation without a version
   */
  static VersionGossip none() {
    return new VersionGossip() {
      @Override
      public long version() {
        return 0;
      }

      @Override
      public void onVersion(InstanceId from, long version) {
        // There is no version to compare with.
      }
    };
  }
}
