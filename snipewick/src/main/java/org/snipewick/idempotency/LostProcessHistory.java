package org.snipewick.idempotency;

import java.util.List;
import org.snipewick.membership.LostProcess;

/** History of the processes of the local failure domain that were lost without a planned stop. */
@FunctionalInterface
public interface LostProcessHistory {

  /**
   * Returns recently lost processes, except those that became reachable again and kept their
   * records.
   *
   * @return processes lost within at least the retention time of keys
   */
  List<LostProcess> recentLostProcesses();

  /**
   * Returns a history without lost processes.
   *
   * @return empty history
   */
  static LostProcessHistory empty() {
    return List::of;
  }
}
