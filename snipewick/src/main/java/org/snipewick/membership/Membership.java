package org.snipewick.membership;

import java.util.function.BiConsumer;

/** Keeps the current {@link MembershipView}; reading it never blocks. */
public interface Membership {

  /**
   * Returns the current view.
   *
   * @return immutable snapshot
   */
  MembershipView view();

  /**
   * Calls a listener after each change of the view, on the timer's thread.
   *
   * @param listener gets the view before and the view after
   */
  void subscribe(BiConsumer<MembershipView, MembershipView> listener);

  /**
   * Tells whether this instance may act on duties that follow from the view. It may not while it
   * has not run for longer than the standing time-out (a paused process that wakes), until a round
   * of heartbeats is answered.
   *
   * @return whether the instance has standing, judged at the moment of the call
   */
  boolean hasStanding();

  /**
   * Returns when this instance last gained standing or joined.
   *
   * @return milliseconds since the Unix epoch
   */
  long standingSinceEpochMillis();
}
