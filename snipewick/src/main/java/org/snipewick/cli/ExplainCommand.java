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

/** Explains from the logs of instances how a request ended, and why. */
@Parameters(commandDescription = "explain from logs how a request ended")
final class ExplainCommand implements Command {
  @Parameter(
      names = "--request",
      description = "request identifier or idempotency key",
      required = true)
  private String request;

  @Parameter(
      names = "--log",
      description = "log file of an instance; may be given more than once",
      required = true)
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
    return explanation.requestLines().isEmpty() ? ExitCode.REFUSED : ExitCode.SUCCESS;
  }
}
