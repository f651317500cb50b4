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
 * What became of a request and why, from the log lines of several processes.
 *
 * @param steps lines about the request and the calls that share its key, in order of time
 * @param beliefs lines about what the processes believed around that time, in order of time
 */
record Explanation(List<LogLine> steps, List<LogLine> beliefs) {
  /** Covers the time after which a silent instance or domain is taken for dead. */
  private static final Duration BEFORE = Duration.ofSeconds(10);

  Explanation {
    steps = List.copyOf(steps);
    beliefs = List.copyOf(beliefs);
  }

  /**
   * Finds what the logs say of a request.
   *
   * @param text identifier of the request, or idempotency key
   * @param lines lines of all processes, in any order
   */
  static Explanation of(String text, Collection<LogLine> lines) {
    Set<String> requests =
        lines.stream()
            .filter(line -> line.isAboutRequest() && line.names(text))
            .map(LogLine::subject)
            .collect(Collectors.toCollection(HashSet::new));
    List<LogLine> steps =
        inOrder(lines.stream().filter(line -> requests.contains(line.subject())).toList());
    if (steps.isEmpty()) {
      return new Explanation(List.of(), List.of());
    }
    OffsetDateTime from = steps.get(0).time().minus(BEFORE);
    OffsetDateTime to = steps.get(steps.size() - 1).time();
    List<LogLine> beliefs =
        lines.stream()
            .filter(line -> !line.isAboutRequest())
            .filter(line -> !line.time().isBefore(from) && !line.time().isAfter(to))
            .toList();
    return new Explanation(steps, inOrder(beliefs));
  }

  private static List<LogLine> inOrder(Collection<LogLine> lines) {
    List<LogLine> sorted = new ArrayList<>(lines);
    sorted.sort(Comparator.comparing(LogLine::time));
    return sorted;
  }

  /** Returns the line that tells how the request ended, empty if no line does. */
  Optional<LogLine> end() {
    Set<Integer> ends =
        Set.of(EventType.REQUEST_FAILED.number(), EventType.REQUEST_DELIVERED.number());
    return steps.stream()
        .filter(line -> ends.contains(line.event()))
        .reduce((earlier, later) -> later);
  }

  /** Returns the last decision of a scheduler, empty if none was logged. */
  Optional<LogLine> decision() {
    return steps.stream()
        .filter(line -> line.event() == EventType.SCHEDULER_DECIDED.number())
        .reduce((earlier, later) -> later);
  }

  String toText() {
    StringBuilder text = new StringBuilder();
    steps.forEach(line -> append(text, line));
    if (!beliefs.isEmpty()) {
      text.append("Meanwhile, by the same logs:\n");
      beliefs.forEach(line -> append(text, line));
    }
    return text.append(summary()).toString();
  }

  private String summary() {
    if (steps.isEmpty()) {
      return "No line names this request.\n";
    }
    String decided = decision().map(line -> "Decided: " + line.fields() + "\n").orElse("");
    String ended =
        end()
            .map(line -> "Ended: " + line.title() + " " + line.fields() + "\n")
            .orElse("Ended: no line tells; the process may have died, or dropped lines (103)\n");
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
