package org.snipewick.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Checks the guarantees to callers against the attempts of a run.
 *
 * @param injectedFaults faults of the run
 * @param runs how often each request ran according to the endpoints, by the name of the request
 */
record Guarantees(List<InjectedFault> injectedFaults, Map<String, Integer> runs) {
  /** Timeout of requests, in the catalogue and in the header. */
  static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(8);

  /** Allows for the time on the network in both directions and for a busy host. */
  private static final Duration MAX_CALL_TIME = REQUEST_TIMEOUT.plusSeconds(2);

  /**
   * A request that was sent this long before a planned stop had arrived at the instance by then.
   */
  private static final Duration ARRIVAL_TIME = Duration.ofMillis(500);

  Guarantees {
    injectedFaults = List.copyOf(injectedFaults);
    runs = Map.copyOf(runs);
  }

  /** Returns a line for each violation. */
  List<String> violations(Collection<Attempt> attempts) {
    List<String> violations = new ArrayList<>();
    attempts.forEach(attempt -> checkAttempt(attempt, violations));
    attempts.stream()
        .collect(Collectors.groupingBy(Attempt::request))
        .forEach((request, all) -> checkRequest(request, all, violations));
    return violations;
  }

  private void checkAttempt(Attempt attempt, List<String> violations) {
    Duration elapsed = Duration.ofNanos(attempt.endNanos() - attempt.startNanos());
    boolean undisturbed = faultsDuring(attempt).isEmpty();
    if (elapsed.compareTo(MAX_CALL_TIME) > 0 && undisturbed) {
      violations.add("late response after " + elapsed + ": " + describe(attempt));
    }
    if (attempt.response().isEmpty() && (undisturbed || brokenByPlannedStop(attempt))) {
      violations.add("connection broken: " + describe(attempt));
    }
    if (attempt.isTruncatedWithoutError()) {
      violations.add("stream without end or error: " + describe(attempt));
    } else if (attempt.succeeded()
        && !attempt.hasErrorEvent()
        && !attempt.isCompleteAndMatching()) {
      violations.add("response incomplete or of another request: " + describe(attempt));
    }
    if (attempt.response().filter(response -> response.statusCode() == 500).isPresent()) {
      violations.add("internal server error: " + describe(attempt));
    }
  }

  /** Returns the faults of the called instance itself that overlap with an attempt. */
  private List<InjectedFault> faultsDuring(Attempt attempt) {
    return injectedFaults.stream()
        .filter(injected -> injected.fault().target().equals(attempt.instance()))
        .filter(injected -> injected.overlaps(attempt))
        .toList();
  }

  /** Returns whether a planned stop is the only fault and began after the request had arrived. */
  private boolean brokenByPlannedStop(Attempt attempt) {
    List<InjectedFault> overlapping = faultsDuring(attempt);
    return overlapping.size() == 1
        && overlapping.get(0).fault() instanceof Fault.PlannedStop
        && overlapping.get(0).beginNanos() - attempt.startNanos() > ARRIVAL_TIME.toNanos();
  }

  private void checkRequest(
      Attempt.Request request, List<Attempt> attempts, List<String> violations) {
    if (request.kind() == Attempt.Kind.PLAIN_QUESTION) {
      return;
    }
    int runCount = runs.getOrDefault(request.name(), 0);
    if (runCount > 1) {
      violations.add("ran " + runCount + " times: " + describe(attempts));
    }
    if (runCount == 0 && attempts.stream().anyMatch(Guarantees::reportsRun)) {
      violations.add("reported as run, but it did not run: " + describe(attempts));
    }
    if (runCount > 0 && attempts.stream().allMatch(Guarantees::reportsNotRun)) {
      violations.add("always reported as not-run, but it ran: " + describe(attempts));
    }
    List<Attempt> inOrder = inStartOrder(attempts);
    for (int index = 1; index < inOrder.size(); index++) {
      boolean ranBefore = inOrder.subList(0, index).stream().anyMatch(Guarantees::reportsRun);
      if (ranBefore && reportsNotRun(inOrder.get(index))) {
        violations.add("reported as not-run after it had run: " + describe(attempts));
      }
    }
    long differentResponses =
        attempts.stream()
            .filter(attempt -> attempt.succeeded() && attempt.isCompleteAndMatching())
            .map(attempt -> attempt.response().orElseThrow().body())
            .distinct()
            .count();
    if (differentResponses > 1) {
      violations.add("different responses: " + describe(attempts));
    }
  }

  private static boolean reportsRun(Attempt attempt) {
    return attempt.succeeded() || attempt.outcome().filter("ran"::equals).isPresent();
  }

  private static boolean reportsNotRun(Attempt attempt) {
    return attempt.outcome().filter("not-run"::equals).isPresent();
  }

  private static List<Attempt> inStartOrder(List<Attempt> attempts) {
    return attempts.stream()
        .sorted((one, other) -> Long.compare(one.startNanos(), other.startNanos()))
        .toList();
  }

  private static String describe(List<Attempt> attempts) {
    return inStartOrder(attempts).stream()
        .map(Guarantees::describe)
        .collect(Collectors.joining("; then "));
  }

  private static String describe(Attempt attempt) {
    String end =
        attempt
            .response()
            .map(response -> response.statusCode() + " " + response.body().strip())
            .orElse(attempt.failure());
    String id =
        attempt
            .response()
            .flatMap(response -> response.headers().firstValue("Snipewick-Request"))
            .orElse("no id");
    return "%s through %s (%s): %s"
        .formatted(attempt.request(), attempt.instance(), id, shortened(end));
  }

  private static String shortened(String text) {
    int maxCharacters = 300;
    return text.length() <= maxCharacters
        ? text
        : text.substring(0, maxCharacters / 2)
            + "..."
            + text.substring(text.length() - maxCharacters / 2);
  }
}
