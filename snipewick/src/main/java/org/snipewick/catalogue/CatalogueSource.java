package org.snipewick.catalogue;

import java.util.function.Consumer;

/** Source of the catalogue in force; reading it never blocks and its version never decreases. */
public interface CatalogueSource {

  /**
   * Returns the catalogue in force on this instance.
   *
   * @return catalogue, which is immutable
   */
  Catalogue current();

  /**
   * Adds a listener that is called after each change.
   *
   * @param listener receives the catalogue now in force
   */
  void subscribe(Consumer<Catalogue> listener);
}
