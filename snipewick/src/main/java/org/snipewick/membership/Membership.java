package org.snipewick.membership;

import java.util.function.BiConsumer;

/**
 * Source of the current {@link MembershipView} and of the activity of the local instance. All
 * methods are thread-safe and never block.
 */
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
   * Returns whether this instance is active, that is whether it may exercise the responsibilities
   * that the view assigns to it. It is inactive while no other member of its failure domain
   * acknowledges its heartbeats. After its start, after a pause of its process longer than the
   * activity timeout, after it has detected that its heartbeats went unacknowledged, and after a
   * peer has declared it dead, it is inactive until all of them have acknowledged a round of
   * heartbeats. An instance without other members in its domain needs no acknowledgements.
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
