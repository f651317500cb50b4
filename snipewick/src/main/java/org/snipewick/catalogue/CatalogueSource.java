package org.snipewick.catalogue;

import java.util.function.Consumer;

/** Gives the catalogue in force; reading it never blocks and its version never decreases. */
public interface CatalogueSource {

  /**
   * Returns the catalogue in force on this instance.
   *
   * @return immutable snapshot
   */
  Catalogue current();

  /**
   * Calls a listener after each change.
   *
   * @param listener gets the catalogue now in force
   */
  void subscribe(Consumer<Catalogue> listener);
}
