package org.snipewick.request.http;

import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.snipewick.failure.Failure;
import org.snipewick.identity.TeamName;
import org.snipewick.limits.TeamLimits;

/** Limits that let everything pass unless told otherwise, and remember what is given back. */
final class RecordingLimits implements TeamLimits {
  volatile Failure refusal;
  private final BlockingQueue<Release> releases = new LinkedBlockingQueue<>();

  /** Tokens of one call. */
  record Release(long reserved, long used) {}

  @Override
  public Optional<Failure> tryAcquire(TeamName team, long tokens) {
    return Optional.ofNullable(refusal);
  }

  @Override
  public void release(TeamName team, long reserved, long used) {
    releases.add(new Release(reserved, used));
  }

  /** Waits for the next release. */
  Release awaitRelease() throws InterruptedException {
    return releases.poll(10, TimeUnit.SECONDS);
  }

  int waitingReleases() {
    return releases.size();
  }
}
