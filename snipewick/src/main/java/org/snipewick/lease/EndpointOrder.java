package org.snipewick.lease;

import static java.util.Objects.requireNonNull;

/**
 * Order to an endpoint.
 *
 * @param kind what to do
 * @param argument model, adapter or version to load or unload, or the new role
 */
public record EndpointOrder(Kind kind, String argument) {

  /** Checks the parts. */
  public EndpointOrder {
    requireNonNull(kind, "kind");
    requireNonNull(argument, "argument");
  }

  /**
   * Returns an order.
   *
   * @param kind what to do
   * @param argument what it is about
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
     * Returns the published form.
     *
     * @return name as sent to endpoints
     */
    public String text() {
      return text;
    }
  }
}
