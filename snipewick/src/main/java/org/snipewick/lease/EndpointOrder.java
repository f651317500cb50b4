package org.snipewick.lease;

import static java.util.Objects.requireNonNull;

/**
 * Operator's order to an endpoint.
 *
 * @param kind what to do
 * @param argument model, adapter or version to load or unload, or the new role
 */
public record EndpointOrder(Kind kind, String argument) {

  /** Checks that no component is null. */
  public EndpointOrder {
    requireNonNull(kind, "kind");
    requireNonNull(argument, "argument");
  }

  /**
   * Returns an order.
   *
   * @param kind what to do
   * @param argument model, adapter or version to load or unload, or the new role
   * @return order
   */
  public static EndpointOrder of(Kind kind, String argument) {
    return new EndpointOrder(kind, argument);
  }

  /** What an endpoint can be ordered to do. */
  public enum Kind {
    /** Loads a model, adapter or version. */
    LOAD("load"),
    /** Unloads a model, adapter or version. */
    UNLOAD("unload"),
    /** Changes the endpoint's role. */
    ROLE("role");

    private final String text;

    Kind(String text) {
      this.text = text;
    }

    /**
     * Returns the name of this kind in orders to endpoints.
     *
     * @return name on the wire
     */
    public String text() {
      return text;
    }
  }
}
