package org.snipewick.catalogue;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * How far the catalogue has spread, as one instance sees it.
 *
 * @param version version in force here
 * @param versions versions in force on other instances, as last heard
 * @param unreachable known instances that do not answer
 * @param platformReachable whether the platform answered the last read
 */
public record CatalogueStatus(
    long version,
    SortedMap<String, Long> versions,
    List<String> unreachable,
    boolean platformReachable) {

  /** Copies the parts. */
  public CatalogueStatus {
    versions = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(versions));
    unreachable = List.copyOf(unreachable);
  }
}
