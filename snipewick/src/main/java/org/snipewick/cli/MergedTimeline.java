package org.snipewick.cli;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Timeline that merges the events of several processes.
 *
 * @param events events as returned by the instances, in order of time
 */
record MergedTimeline(List<JsonNode> events) {
  private static final String PAGE_RESOURCE = "timeline.html";
  private static final double MICROS_PER_MILLI = 1_000;

  static MergedTimeline ofAll(Collection<JsonNode> events) {
    return new MergedTimeline(
        events.stream()
            .sorted(Comparator.comparingLong(event -> event.path("epochMicros").asLong()))
            .toList());
  }

  String toText() {
    StringBuilder text = new StringBuilder();
    for (JsonNode event : events) {
      text.append(
          String.format(
              "%+10.3f ms  %-12s %-24s %-26s %s%n",
              millisSinceStart(event),
              event.path("process").asText(),
              event.path("type").asText(),
              event.path("subject").asText(),
              event.path("details")));
    }
    return text.toString();
  }

  String toHtml(String subject) {
    StringBuilder rows = new StringBuilder();
    for (JsonNode event : events) {
      rows.append(
          String.format(
              "<tr><td class=\"time\">%+.3f</td><td>%s</td><td>%s</td><td>%s</td><td>%s</td>"
                  + "<td><div class=\"bar\" style=\"margin-left:%.2f%%\"></div></td></tr>%n",
              millisSinceStart(event),
              escape(event.path("process").asText()),
              escape(event.path("type").asText()),
              escape(event.path("subject").asText()),
              escape(event.path("details").toString()),
              millisSinceStart(event) * 100 / Math.max(spanMillis(), Double.MIN_NORMAL)));
    }
    return page(escape(subject), startTime(), rows.toString());
  }

  private static String page(String subject, String start, String rows) {
    try (InputStream stream = MergedTimeline.class.getResourceAsStream(PAGE_RESOURCE)) {
      byte[] page = requireNonNull(stream, PAGE_RESOURCE).readAllBytes();
      return String.format(new String(page, StandardCharsets.UTF_8), subject, start, rows);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private String startTime() {
    return events.isEmpty()
        ? "no events"
        : Instant.EPOCH
            .plus(events.get(0).path("epochMicros").asLong(), ChronoUnit.MICROS)
            .toString();
  }

  private double spanMillis() {
    return events.isEmpty() ? 0 : millisSinceStart(events.get(events.size() - 1));
  }

  private double millisSinceStart(JsonNode event) {
    long first = events.get(0).path("epochMicros").asLong();
    return (event.path("epochMicros").asLong() - first) / MICROS_PER_MILLI;
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
  }
}
