package org.snipewick.membership;

import java.util.function.BiConsumer;

/** Source of the current {@link MembershipView}. All methods are thread-safe and never block. */
public interface Membership {

  /**
   * Returns the current view.
   *
   * @return immutable snapshot, never null
   */
  MembershipView view();

  /**
   * Adds a listener that is called on the timer's thread after each change of the view.
   *
   * @param listener receives the view before and the view after the change
   */
  void subscribe(BiConsumer<MembershipView, MembershipView> listener);

  /**
   * Returns whether this instance is active: whether it may act on responsibilities that follow
   * from the view. It is inactive while the other members of its failure domain do not acknowledge
   * its heartbeats, and after it did not run for longer than the activity timeout, as a paused
   * process, until a round of heartbeats is acknowledged.
   *
   * @return whether the instance is active, evaluated by the clock at the moment of the call
   */
  boolean isActive();

  /**
   * Returns when this instance last became active.
   *
   * @return milliseconds since the Unix epoch, 0 if it has never been active
   */
  long activeSinceEpochMillis();
}
