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
 * Events of several processes in order of time.
 *
 * @param events events as the instances gave them
 */
record MergedTimeline(List<JsonNode> events) {
  private static final String PAGE = "timeline.html";
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
              sinceStart(event),
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
              sinceStart(event),
              escape(event.path("process").asText()),
              escape(event.path("type").asText()),
              escape(event.path("subject").asText()),
              escape(event.path("details").toString()),
              sinceStart(event) * 100 / Math.max(span(), Double.MIN_NORMAL)));
    }
    return page(escape(subject), start(), rows.toString());
  }

  private static String page(String subject, String start, String rows) {
    try (InputStream stream = MergedTimeline.class.getResourceAsStream(PAGE)) {
      byte[] page = requireNonNull(stream, PAGE).readAllBytes();
      return String.format(new String(page, StandardCharsets.UTF_8), subject, start, rows);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private String start() {
    return events.isEmpty()
        ? "no events"
        : Instant.EPOCH
            .plus(events.get(0).path("epochMicros").asLong(), ChronoUnit.MICROS)
            .toString();
  }

  private double span() {
    return events.isEmpty() ? 0 : sinceStart(events.get(events.size() - 1));
  }

  private double sinceStart(JsonNode event) {
    long first = events.get(0).path("epochMicros").asLong();
    return (event.path("epochMicros").asLong() - first) / MICROS_PER_MILLI;
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
  }
}
