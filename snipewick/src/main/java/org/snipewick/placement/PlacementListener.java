package org.snipewick.placement;

/** Receiver of the decision about one request. */
public interface PlacementListener {

  /**
   * Receives the endpoint to send the request to.
   *
   * @param placed decision
   * @param grant permission, which the receiver must end
   */
  void onPlaced(PlacementDecision.Placed placed, PlacementGrant grant);

  /**
   * Receives the refusal of the request.
   *
   * @param refused decision
   */
  void onRefused(PlacementDecision.Refused refused);
}
