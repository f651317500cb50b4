package org.snipewick.body;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.snipewick.memory.MemoryAccount;
import org.snipewick.time.TimerService;

/**
 * Bound on the memory of bodies that are still being received. Answers a load of callers that stop
 * just short of the end of their bodies: the other part of the account stays open to complete
 * bodies and to responses, and bodies without progress lose their bytes first. Used on one event
 * loop only.
 */
final class IncompleteBodies {
  /** Part of the account, as its divisor, that is open to incomplete bodies. */
  private static final int ACCOUNT_DIVISOR = 2;

  /**
   * Time without progress after which a body gives way. A lost packet is sent again after a second
   * at most on the links to callers.
   */
  private static final long STALL_NANOS = Duration.ofSeconds(2).toNanos();

  /** Bytes that count as progress, so that a byte a second does not. */
  static final int PROGRESS_BYTES = 4 * 1024;

  private final MemoryAccount memory;
  private final TimerService timer;
  private final Runnable onGaveWay;
  private final Set<Body> bodies = new LinkedHashSet<>();
  private long heldBytes;

  IncompleteBodies(MemoryAccount memory, TimerService timer, Runnable onGaveWay) {
    this.memory = requireNonNull(memory, "memory");
    this.timer = requireNonNull(timer, "timer");
    this.onGaveWay = requireNonNull(onGaveWay, "onGaveWay");
  }

  /** Returns a body without bytes; the listener discards its bytes when it gives way. */
  Body open(Runnable onDiscarded) {
    return new Body(onDiscarded);
  }

  private long limitBytes() {
    return memory.limitBytes() / ACCOUNT_DIVISOR;
  }

  private boolean fits(long additionalBytes, boolean isLarge) {
    return heldBytes + additionalBytes <= limitBytes()
        && (!isLarge || memory.heldBytes() + additionalBytes <= limitBytes());
  }

  private boolean makeRoom(Body asking, long additionalBytes, boolean isLarge) {
    while (!fits(additionalBytes, isLarge)) {
      Optional<Body> givesWay = stalledBody(asking);
      if (givesWay.isEmpty() && !isLarge) {
        givesWay = largerBody(asking, additionalBytes);
      }
      if (givesWay.isEmpty()) {
        return false;
      }
      givesWay.get().giveWay();
    }
    return true;
  }

  private Optional<Body> stalledBody(Body asking) {
    long nowNanos = timer.nanoTime();
    return bodies.stream()
        .filter(body -> body != asking && nowNanos - body.progressNanos >= STALL_NANOS)
        .max(Comparator.comparingLong(body -> nowNanos - body.progressNanos));
  }

  private Optional<Body> largerBody(Body asking, long additionalBytes) {
    return bodies.stream()
        .filter(body -> body != asking && body.bytes > asking.bytes + additionalBytes)
        .max(Comparator.comparingLong(body -> body.bytes));
  }

  /** Memory of one incomplete body. */
  final class Body {
    private final Runnable onDiscarded;
    private long bytes;
    private long progressBytes;
    private long progressNanos = timer.nanoTime();

    private Body(Runnable onDiscarded) {
      this.onDiscarded = requireNonNull(onDiscarded, "onDiscarded");
    }

    /**
     * Asks whether further bytes may be reserved.
     *
     * @param additionalBytes number of bytes
     * @param isLarge whether the body would be a large one, for which no other one gives way but
     *     those without progress
     * @return whether there is room
     */
    boolean tryReserve(long additionalBytes, boolean isLarge) {
      if (!makeRoom(this, additionalBytes, isLarge)) {
        return false;
      }
      bytes += additionalBytes;
      heldBytes += additionalBytes;
      bodies.add(this);
      return true;
    }

    /** Records how many bytes have arrived in all; returns whether that counts as progress. */
    boolean recordReceived(long receivedBytes) {
      if (receivedBytes - progressBytes < PROGRESS_BYTES) {
        return false;
      }
      progressBytes = receivedBytes;
      progressNanos = timer.nanoTime();
      return true;
    }

    /** Records that the body is complete or no longer kept; later calls have no effect. */
    void close() {
      heldBytes -= bytes;
      bytes = 0;
      bodies.remove(this);
    }

    private void giveWay() {
      close();
      onDiscarded.run();
      onGaveWay.run();
    }
  }
}
