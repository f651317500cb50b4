package org.snipewick.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Finds what a run has broken of what callers are promised.
 *
 * @param strikes faults that have happened
 * @param runs how often each request with a name ran, as the endpoints counted
 */
record Promises(List<Strike> strikes, Map<String, Integer> runs) {
  /** Time that callers give, in the catalogue and by header. */
  static final Duration AGREED_TIME = Duration.ofSeconds(8);

  /** For the way there and back, and for a busy host. */
  private static final Duration LATE_AFTER = AGREED_TIME.plusSeconds(2);

  /** A call that was sent so long before a stop has arrived by then. */
  private static final Duration ARRIVED = Duration.ofMillis(500);

  Promises {
    strikes = List.copyOf(strikes);
    runs = Map.copyOf(runs);
  }

  /** Returns a line for each broken promise. */
  List<String> violations(Collection<Attempt> attempts) {
    List<String> found = new ArrayList<>();
    attempts.forEach(attempt -> checkOne(attempt, found));
    attempts.stream()
        .collect(Collectors.groupingBy(Attempt::request))
        .forEach((request, all) -> checkAll(request, all, found));
    return found;
  }

  private void checkOne(Attempt attempt, List<String> found) {
    Duration took = Duration.ofNanos(attempt.endNanos() - attempt.startNanos());
    boolean undisturbed = struck(attempt).isEmpty();
    if (took.compareTo(LATE_AFTER) > 0 && undisturbed) {
      found.add("answered after " + took + ": " + text(attempt));
    }
    if (attempt.answer().isEmpty() && (undisturbed || cutByPlannedStop(attempt))) {
      found.add("connection broken: " + text(attempt));
    }
    if (attempt.isCutWithoutError()) {
      found.add("stream without end or error: " + text(attempt));
    } else if (attempt.succeeded() && !attempt.toldItBrokeOff() && !attempt.isWholeAndOwn()) {
      found.add("not the caller's whole answer: " + text(attempt));
    }
    if (attempt.answer().filter(answer -> answer.statusCode() == 500).isPresent()) {
      found.add("defect: " + text(attempt));
    }
  }

  /** Returns the faults that struck the called instance itself during a call. */
  private List<Strike> struck(Attempt attempt) {
    return strikes.stream()
        .filter(strike -> strike.fault().target().equals(attempt.instance()))
        .filter(strike -> strike.overlaps(attempt))
        .toList();
  }

  private boolean cutByPlannedStop(Attempt attempt) {
    List<Strike> struck = struck(attempt);
    return struck.size() == 1
        && struck.get(0).fault() instanceof Fault.PlannedStop
        && struck.get(0).beginNanos() - attempt.startNanos() > ARRIVED.toNanos();
  }

  private void checkAll(Attempt.Request request, List<Attempt> attempts, List<String> found) {
    if (request.kind() == Attempt.Kind.PLAIN_QUESTION) {
      return;
    }
    int ran = runs.getOrDefault(request.name(), 0);
    if (ran > 1) {
      found.add("ran " + ran + " times: " + text(attempts));
    }
    if (ran == 0 && attempts.stream().anyMatch(Promises::saysThatItRan)) {
      found.add("told that it ran, but it did not: " + text(attempts));
    }
    if (ran > 0 && attempts.stream().allMatch(Promises::saysThatItDidNotRun)) {
      found.add("always told not-run, but it ran: " + text(attempts));
    }
    List<Attempt> inOrder = inOrder(attempts);
    for (int index = 1; index < inOrder.size(); index++) {
      boolean ranBefore = inOrder.subList(0, index).stream().anyMatch(Promises::saysThatItRan);
      if (ranBefore && saysThatItDidNotRun(inOrder.get(index))) {
        found.add("told not-run after it had run: " + text(attempts));
      }
    }
    long answers =
        attempts.stream()
            .filter(attempt -> attempt.succeeded() && attempt.isWholeAndOwn())
            .map(attempt -> attempt.answer().orElseThrow().body())
            .distinct()
            .count();
    if (answers > 1) {
      found.add("two different answers: " + text(attempts));
    }
  }

  private static boolean saysThatItRan(Attempt attempt) {
    return attempt.succeeded() || attempt.outcome().filter("ran"::equals).isPresent();
  }

  private static boolean saysThatItDidNotRun(Attempt attempt) {
    return attempt.outcome().filter("not-run"::equals).isPresent();
  }

  private static List<Attempt> inOrder(List<Attempt> attempts) {
    return attempts.stream()
        .sorted((one, other) -> Long.compare(one.startNanos(), other.startNanos()))
        .toList();
  }

  private static String text(List<Attempt> attempts) {
    return inOrder(attempts).stream().map(Promises::text).collect(Collectors.joining("; then "));
  }

  private static String text(Attempt attempt) {
    String end =
        attempt
            .answer()
            .map(answer -> answer.statusCode() + " " + answer.body().strip())
            .orElse(attempt.failure());
    String id =
        attempt
            .answer()
            .flatMap(answer -> answer.headers().firstValue("Snipewick-Request"))
            .orElse("no id");
    return "%s through %s (%s): %s"
        .formatted(attempt.request(), attempt.instance(), id, shortened(end));
  }

  private static String shortened(String text) {
    int most = 300;
    return text.length() <= most
        ? text
        : text.substring(0, most / 2) + "..." + text.substring(text.length() - most / 2);
  }
}
