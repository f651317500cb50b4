package org.snipewick.rollout;

/** Phase of an order. */
enum RolloutPhase {
  /** A bounded share of the requests goes to the new version. */
  TRIAL,
  /** All requests go to the new version, within what remains of the bounds. */
  MOVING,
  /** The new version is the one to use. */
  COMPLETE,
  /** The new version receives nothing. */
  ROLLED_BACK;

  boolean hasEnded() {
    return this == COMPLETE || this == ROLLED_BACK;
  }

  /** Returns the state that is reported to the operator. */
  String state() {
    return switch (this) {
      case TRIAL, MOVING -> "running";
      case COMPLETE -> "complete";
      case ROLLED_BACK -> "rolled_back";
    };
  }
}
