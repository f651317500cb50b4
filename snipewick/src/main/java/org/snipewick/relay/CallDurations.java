package org.snipewick.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Longest recent duration of the calls of each route, from which a planned stop estimates whether a
 * call can still end. Used on one event loop only.
 */
final class CallDurations {
  /** Number of recent calls below which a route has no estimate. */
  static final int MIN_CALLS = 20;

  /** Time after which a call is forgotten; at the latest after twice as long. */
  private static final long WINDOW_NANOS = Duration.ofSeconds(30).toNanos();

  private final Map<String, RouteDurations> routes = new HashMap<>();

  /** Records the end of a call. */
  void record(String route, long durationNanos, long nowNanos) {
    routes
        .computeIfAbsent(route, name -> new RouteDurations(nowNanos))
        .add(durationNanos, nowNanos);
  }

  /** Returns the longest duration, in nanoseconds; empty if there were too few calls. */
  OptionalLong longestNanos(String route, long nowNanos) {
    RouteDurations durations = routes.get(route);
    return durations == null ? OptionalLong.empty() : durations.longestNanos(nowNanos);
  }

  /** Durations in the current window and the one before it. */
  private static final class RouteDurations {
    private long windowStartNanos;
    private Window current = Window.EMPTY;
    private Window previous = Window.EMPTY;

    RouteDurations(long nowNanos) {
      windowStartNanos = nowNanos;
    }

    void add(long durationNanos, long nowNanos) {
      advance(nowNanos);
      current = current.with(durationNanos);
    }

    OptionalLong longestNanos(long nowNanos) {
      advance(nowNanos);
      return current.calls() + previous.calls() < MIN_CALLS
          ? OptionalLong.empty()
          : OptionalLong.of(Math.max(current.longestNanos(), previous.longestNanos()));
    }

    private void advance(long nowNanos) {
      long windows = (nowNanos - windowStartNanos) / WINDOW_NANOS;
      if (windows > 0) {
        previous = windows == 1 ? current : Window.EMPTY;
        current = Window.EMPTY;
        windowStartNanos += windows * WINDOW_NANOS;
      }
    }
  }

  /** Calls that ended in a window. */
  private record Window(int calls, long longestNanos) {
    private static final Window EMPTY = new Window(0, 0);

    Window with(long durationNanos) {
      return new Window(calls + 1, Math.max(longestNanos, durationNanos));
    }
  }
}
