package org.snipewick.catalogue;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Versions of the catalogue on all known instances, according to the state of one instance.
 *
 * @param version version in force on this instance
 * @param versions last reported version of each other instance that is not dead
 * @param unreachable known instances that membership regards as dead
 * @param platformReachable whether the last read of the platform succeeded
 */
public record CatalogueStatus(
    long version,
    SortedMap<String, Long> versions,
    List<String> unreachable,
    boolean platformReachable) {

  /** Copies the collections. */
  public CatalogueStatus {
    versions = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(versions));
    unreachable = List.copyOf(unreachable);
  }
}
