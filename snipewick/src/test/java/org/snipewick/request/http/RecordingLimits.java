package org.snipewick.request.http;

import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.snipewick.failure.Failure;
import org.snipewick.identity.TeamName;
import org.snipewick.limits.TeamLimits;

/** Limits that admit everything unless {@link #refusal} is set, and record each release. */
final class RecordingLimits implements TeamLimits {
  volatile Failure refusal;
  private final BlockingQueue<Release> releases = new LinkedBlockingQueue<>();

  /** Tokens that one call reserved and used. */
  record Release(long reserved, long used) {}

  @Override
  public Optional<Failure> tryAcquire(TeamName team, long tokens) {
    return Optional.ofNullable(refusal);
  }

  @Override
  public void release(TeamName team, long reserved, long used) {
    releases.add(new Release(reserved, used));
  }

  /** Returns the next release, or null if there is none within 10 s. */
  Release awaitRelease() throws InterruptedException {
    return releases.poll(10, TimeUnit.SECONDS);
  }

  int pendingReleases() {
    return releases.size();
  }
}
