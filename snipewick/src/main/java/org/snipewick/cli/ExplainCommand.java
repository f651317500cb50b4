package org.snipewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Tells from the logs of instances what became of a request, and why. */
@Parameters(commandDescription = "tell from logs what became of a request")
final class ExplainCommand implements Command {
  @Parameter(names = "--request", description = "request or idempotency key", required = true)
  private String request;

  @Parameter(names = "--log", description = "log of an instance; may be repeated", required = true)
  private List<Path> logs = new ArrayList<>();

  @Override
  public ExitCode run(Console console) {
    List<LogLine> lines = new ArrayList<>();
    for (Path log : logs) {
      try (Stream<String> text = Files.lines(log)) {
        text.map(LogLine::parse).flatMap(Optional::stream).forEach(lines::add);
      } catch (IOException failure) {
        console.err().println(log + ": " + failure);
        return ExitCode.FAILED;
      }
    }
    Explanation explanation = Explanation.of(request, lines);
    console.out().print(explanation.toText());
    return explanation.steps().isEmpty() ? ExitCode.REFUSED : ExitCode.SUCCESS;
  }
}
