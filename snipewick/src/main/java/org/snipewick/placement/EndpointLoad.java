package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.OptionalDouble;
import org.snipewick.roster.RosterEndpoint;

/** What an instance knows of the load and the state of one endpoint. */
final class EndpointLoad {
  /** Reports come with answers, about two a second from each endpoint at the users' loads. */
  private static final long REPORT_VALIDITY_NANOS = Duration.ofMillis(1500).toNanos();

  /** Time after a rejection until the endpoint is asked again; about one request's time there. */
  private static final long REJECTION_PAUSE_NANOS = Duration.ofMillis(150).toNanos();

  private static final long FIRST_FAILURE_PAUSE_NANOS = Duration.ofMillis(250).toNanos();

  /** Longest pause after failures in a row; an endpoint's restart takes several seconds. */
  private static final long MAX_FAILURE_PAUSE_NANOS = Duration.ofSeconds(4).toNanos();

  /** A single failure may be the request's own; two in a row are the endpoint's. */
  private static final int FAILURES_BEFORE_PAUSE = 2;

  private static final int MAX_DOUBLINGS = 4;

  /** About the last ten answers count. */
  private static final double NEWEST_PACE_SHARE = 0.1;

  private RosterEndpoint endpoint;
  private int slots;
  private int own;
  private long ownTokens;
  private int others;
  private int told;
  private boolean isToldByAll;
  private double pace;
  private long reportedAtNanos;
  private boolean isReported;
  private int failuresInRow;
  private boolean isPaused;
  private long pausedUntilNanos;

  EndpointLoad(RosterEndpoint endpoint) {
    this.endpoint = requireNonNull(endpoint, "endpoint");
    this.slots = endpoint.slots();
  }

  RosterEndpoint endpoint() {
    return endpoint;
  }

  /** Takes a new entry of the same name; another start begins without history. */
  void update(RosterEndpoint listed) {
    if (listed.startedEpochMillis() != endpoint.startedEpochMillis()) {
      isReported = false;
      failuresInRow = 0;
      isPaused = false;
      pace = 0;
    }
    endpoint = listed;
    slots = listed.slots();
  }

  int own() {
    return own;
  }

  /** Returns the requests that are probably there, own ones and those of other instances. */
  int present(long nowNanos) {
    boolean isFresh = isReported && nowNanos - reportedAtNanos < REPORT_VALIDITY_NANOS;
    if (isToldByAll || !isFresh) {
      return own + told;
    }
    return own + Math.max(told, others);
  }

  /**
   * Takes how many requests other instances have there by their own word.
   *
   * @param count requests of those that have told lately
   * @param byAll whether no other instance is silent
   */
  void told(int count, boolean byAll) {
    told = count;
    isToldByAll = byAll;
  }

  /** Takes how long a unit of an answer took, in nanoseconds. */
  void pace(double nanosPerUnit) {
    pace = pace == 0 ? nanosPerUnit : pace + NEWEST_PACE_SHARE * (nanosPerUnit - pace);
  }

  /** Returns the mean time of a unit of its answers in nanoseconds; empty before the first one. */
  OptionalDouble pace() {
    return pace == 0 ? OptionalDouble.empty() : OptionalDouble.of(pace);
  }

  int free(long nowNanos) {
    return slots - present(nowNanos);
  }

  int slots() {
    return slots;
  }

  boolean takesRequests(long nowNanos) {
    return !endpoint.isLeaving() && !(isPaused && nowNanos - pausedUntilNanos < 0);
  }

  void begin(long promptTokens) {
    own++;
    ownTokens += promptTokens;
  }

  /** Takes that the prompt of an own request has been read, or is read no longer. */
  void promptRead(long promptTokens) {
    ownTokens = Math.max(0, ownTokens - promptTokens);
  }

  /** Returns the tokens of own requests whose answers have not begun. */
  long tokensInReading() {
    return ownTokens;
  }

  /** Takes the load that came with the beginning of an answer to an own request. */
  void report(ReportedLoad load, long nowNanos) {
    slots = load.slots();
    others = Math.max(0, load.running() + load.waiting() - own);
    reportedAtNanos = nowNanos;
    isReported = true;
  }

  /** Takes the end of a request; one that began before a lapse of the entry is not counted. */
  void end(Ended how, long nowNanos) {
    own = Math.max(0, own - 1);
    switch (how) {
      case ANSWERED -> {
        failuresInRow = 0;
        isPaused = false;
      }
      case REJECTED -> pause(nowNanos + REJECTION_PAUSE_NANOS);
      case MISDIRECTED -> pause(nowNanos + MAX_FAILURE_PAUSE_NANOS);
      case UNREACHABLE -> {
        failuresInRow = Math.max(failuresInRow, FAILURES_BEFORE_PAUSE);
        fail(nowNanos);
      }
      case FAILED -> fail(nowNanos);
      default -> {
        // A caller that left says nothing about the endpoint.
      }
    }
  }

  private void fail(long nowNanos) {
    failuresInRow++;
    if (failuresInRow >= FAILURES_BEFORE_PAUSE) {
      int doublings = Math.min(MAX_DOUBLINGS, failuresInRow - FAILURES_BEFORE_PAUSE);
      pause(nowNanos + Math.min(MAX_FAILURE_PAUSE_NANOS, FIRST_FAILURE_PAUSE_NANOS << doublings));
    }
  }

  private void pause(long untilNanos) {
    if (!isPaused || untilNanos - pausedUntilNanos > 0) {
      pausedUntilNanos = untilNanos;
      isPaused = true;
    }
  }
}
