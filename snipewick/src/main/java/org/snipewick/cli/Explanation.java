package org.snipewick.cli;

import java.time.Duration;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.snipewick.event.EventType;

/**
 * Explanation of how a request ended and why, from the log lines of several processes.
 *
 * @param requestLines lines about the request and about requests with the same idempotency key, in
 *     order of time
 * @param contextLines lines about the state of the processes and their view of others around that
 *     time, in order of time
 */
record Explanation(List<LogLine> requestLines, List<LogLine> contextLines) {
  /** Covers the time after which an instance or domain that sends nothing is declared dead. */
  private static final Duration CONTEXT_BEFORE_REQUEST = Duration.ofSeconds(10);

  Explanation {
    requestLines = List.copyOf(requestLines);
    contextLines = List.copyOf(contextLines);
  }

  /**
   * Selects the log lines that explain a request.
   *
   * @param text identifier of the request, or idempotency key
   * @param lines lines of all processes, in any order
   */
  static Explanation of(String text, Collection<LogLine> lines) {
    Set<String> requestIds =
        lines.stream()
            .filter(line -> line.isAboutRequest() && line.mentions(text))
            .map(LogLine::subject)
            .collect(Collectors.toCollection(HashSet::new));
    List<LogLine> requestLines =
        sortedByTime(lines.stream().filter(line -> requestIds.contains(line.subject())).toList());
    if (requestLines.isEmpty()) {
      return new Explanation(List.of(), List.of());
    }
    OffsetDateTime from = requestLines.get(0).time().minus(CONTEXT_BEFORE_REQUEST);
    OffsetDateTime to = requestLines.get(requestLines.size() - 1).time();
    List<LogLine> contextLines =
        lines.stream()
            .filter(line -> !line.isAboutRequest())
            .filter(line -> !line.time().isBefore(from) && !line.time().isAfter(to))
            .toList();
    return new Explanation(requestLines, sortedByTime(contextLines));
  }

  private static List<LogLine> sortedByTime(Collection<LogLine> lines) {
    List<LogLine> sorted = new ArrayList<>(lines);
    sorted.sort(Comparator.comparing(LogLine::time));
    return sorted;
  }

  /** Returns the last line that shows how the request ended, or empty if there is none. */
  Optional<LogLine> findEnd() {
    Set<Integer> ends =
        Set.of(EventType.REQUEST_FAILED.number(), EventType.REQUEST_DELIVERED.number());
    return requestLines.stream()
        .filter(line -> ends.contains(line.event()))
        .reduce((earlier, later) -> later);
  }

  /** Returns the last line with a decision of a scheduler, or empty if none was logged. */
  Optional<LogLine> findLastDecision() {
    return requestLines.stream()
        .filter(line -> line.event() == EventType.SCHEDULER_DECIDED.number())
        .reduce((earlier, later) -> later);
  }

  String toText() {
    StringBuilder text = new StringBuilder();
    requestLines.forEach(line -> append(text, line));
    if (!contextLines.isEmpty()) {
      text.append("Other events in these logs around that time:\n");
      contextLines.forEach(line -> append(text, line));
    }
    return text.append(summary()).toString();
  }

  private String summary() {
    if (requestLines.isEmpty()) {
      return "No log line mentions this request.\n";
    }
    String decided = findLastDecision().map(line -> "Decided: " + line.fields() + "\n").orElse("");
    String ended =
        findEnd()
            .map(line -> "Ended: " + line.title() + " " + line.fields() + "\n")
            .orElse(
                "Ended: no log line shows it; the process may have died or dropped log lines"
                    + " (event 103)\n");
    return decided + ended;
  }

  private static void append(StringBuilder text, LogLine line) {
    text.append(
        String.format(
            "%s  %-12s %3d %-28s %s %s%n",
            line.time(),
            line.process(),
            line.event(),
            line.title(),
            line.subject(),
            line.fields()));
  }
}
