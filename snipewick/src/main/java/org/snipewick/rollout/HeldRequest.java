package org.snipewick.rollout;

import org.snipewick.placement.EndpointFilter;
import org.snipewick.registry.RegisteredEndpoint;

/** Request that no version may receive at the moment. */
final class HeldRequest implements RequestVersion {
  @Override
  public EndpointFilter filter() {
    return endpoint -> false;
  }

  @Override
  public boolean isHeld() {
    return true;
  }

  @Override
  public void started(RegisteredEndpoint endpoint, long nowNanos) {}

  @Override
  public void responded(long nowNanos) {}

  @Override
  public void spaced(double nanosPerEvent) {}

  @Override
  public void failed() {}

  @Override
  public void end(long nowNanos) {}
}
