package org.snipewick.idempotency;

import java.util.List;
import org.snipewick.membership.LostProcess;

/** History of the processes of the local failure domain that were lost without a planned stop. */
@FunctionalInterface
public interface LossHistory {

  /**
   * Returns recent losses, without processes that became reachable again and kept their records.
   *
   * @return losses within at least the retention time of keys
   */
  List<LostProcess> recentLosses();

  /**
   * Returns a history without losses.
   *
   * @return empty history
   */
  static LossHistory empty() {
    return List::of;
  }
}
