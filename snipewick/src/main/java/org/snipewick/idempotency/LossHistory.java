package org.snipewick.idempotency;

import java.util.List;
import org.snipewick.membership.Loss;

/** Tells which processes of the own failure domain were lost without a planned stop. */
@FunctionalInterface
public interface LossHistory {

  /**
   * Lists recent losses; those that came back with their memory are left out.
   *
   * @return losses of at least the retention time of keys
   */
  List<Loss> recentLosses();

  /**
   * Returns a history without losses.
   *
   * @return empty history
   */
  static LossHistory empty() {
    return List::of;
  }
}
