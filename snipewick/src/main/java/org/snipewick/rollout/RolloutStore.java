package org.snipewick.rollout;

import static java.util.Objects.requireNonNull;

import org.snipewick.store.ConditionalTableWriter;
import org.snipewick.store.TableReader;
import org.snipewick.store.TableWriter;

/**
 * Access to the tables of the store that rollouts use.
 *
 * @param reader reads evidence and its changes
 * @param writer writes evidence
 * @param conditionalWriter writes phases and statuses
 */
public record RolloutStore(
    TableReader reader, TableWriter writer, ConditionalTableWriter conditionalWriter) {

  /** Checks that no component is null. */
  public RolloutStore {
    requireNonNull(reader, "reader");
    requireNonNull(writer, "writer");
    requireNonNull(conditionalWriter, "conditionalWriter");
  }
}
