package org.snipewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.snipewick.cli.OperatorClient.Response;

/**
 * Prints the events that several instances keep in their timelines, all or those about a subject,
 * in order of time.
 */
@Parameters(commandDescription = "print the merged timeline of several instances")
final class TimelineCommand implements Command {
  @ParametersDelegate private final OperatorOptions options = new OperatorOptions();

  @Parameter(
      names = "--also",
      description = "operators' addresses of further instances",
      validateWith = HostAndPortValidator.class)
  private List<String> otherAddresses = new ArrayList<>();

  @Parameter(names = "--subject", description = "request identifier, idempotency key or pool")
  private String subject = "";

  @Parameter(names = "--html", description = "also write the timeline as an HTML page to this file")
  private Path html;

  @Override
  public ExitCode run(Console console) {
    List<OperatorClient> clients = new ArrayList<>(List.of(options.client()));
    otherAddresses.forEach(address -> clients.add(options.clientOf(address)));
    Set<JsonNode> found = new LinkedHashSet<>();
    ExitCode result = collect(clients, subject, found, console);
    otherSubjects(found).forEach(other -> collect(clients, other, found, console));
    MergedTimeline merged = MergedTimeline.ofAll(found);
    if (options.json()) {
      console.printJson(merged.events());
    } else {
      console.out().print(merged.toText());
    }
    return html == null ? result : writePage(merged, console, result);
  }

  private ExitCode collect(
      List<OperatorClient> clients, String text, Set<JsonNode> found, Console console) {
    ExitCode result = ExitCode.SUCCESS;
    String query = URLEncoder.encode(text, StandardCharsets.UTF_8);
    for (OperatorClient client : clients) {
      Response response = client.get("/admin/timeline?subject=" + query);
      if (response instanceof Response.Received received && received.isSuccess()) {
        received.body().path("events").forEach(found::add);
      } else {
        result = response.report(console, false);
      }
    }
    return result;
  }

  /**
   * Returns the subjects of events that mention the given subject only in a detail, such as the
   * requests with an idempotency key; returns none if no subject was given.
   */
  private Set<String> otherSubjects(Set<JsonNode> events) {
    Set<String> subjects = new LinkedHashSet<>();
    if (!subject.isEmpty()) {
      events.forEach(event -> subjects.add(event.path("subject").asText()));
    }
    subjects.remove(subject);
    subjects.remove("");
    return subjects;
  }

  private ExitCode writePage(MergedTimeline merged, Console console, ExitCode result) {
    try {
      Files.writeString(html, merged.toHtml(subject));
      return result;
    } catch (IOException failure) {
      console.err().println(html + ": " + failure);
      return ExitCode.FAILED;
    }
  }
}
