package org.snipewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.beust.jcommander.converters.PathConverter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Path;
import org.snipewick.cli.OperatorClient.Reply;

/** Commands that read and edit the catalogue. */
final class CatalogueCommands {
  private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());

  private CatalogueCommands() {}

  /** Prints the catalogue in force on an instance. */
  @Parameters(commandDescription = "print the catalogue in force on an instance")
  static final class Get implements Command {
    @ParametersDelegate private final OperatorOptions options = new OperatorOptions();

    @Override
    public ExitCode run(Console console) {
      return print(options.client().get("/admin/catalogue"), options.json(), console);
    }
  }

  /** Edits the catalogue, on condition that nobody else has edited it since. */
  @Parameters(commandDescription = "put edits from a YAML or JSON file into force")
  static final class Put implements Command {
    @ParametersDelegate private final OperatorOptions options = new OperatorOptions();

    @Parameter(description = "FILE", required = true, converter = PathConverter.class)
    private Path file;

    @Parameter(
        names = "--base",
        description = "version that the edits are made to; by default the one now in force")
    private Long base;

    @Override
    public ExitCode run(Console console) {
      ObjectNode body = YAML.createObjectNode();
      try {
        JsonNode content = YAML.readTree(file.toFile());
        body.set("edits", content.has("edits") ? content.get("edits") : content);
      } catch (IOException failure) {
        console.err().println(file + ": " + failure.getMessage());
        return ExitCode.USAGE;
      }
      OperatorClient client = options.client();
      if (base == null) {
        Reply current = client.get("/admin/catalogue");
        if (!(current instanceof Reply.Answered answered && answered.isSuccess())) {
          return current.report(console, options.json());
        }
        base = answered.body().path("version").asLong();
      }
      return print(client.post("/admin/catalogue/edits", body, base), options.json(), console);
    }
  }

  /** Prints accepted changes. */
  @Parameters(commandDescription = "print accepted changes, with who made them and when")
  static final class History implements Command {
    @ParametersDelegate private final OperatorOptions options = new OperatorOptions();

    @Parameter(names = "--after", description = "print only changes after this version")
    private long after;

    @Override
    public ExitCode run(Console console) {
      Reply reply = options.client().get("/admin/catalogue/history?after=" + after);
      return print(reply, options.json(), console);
    }
  }

  private static ExitCode print(Reply reply, boolean json, Console console) {
    if (!(reply instanceof Reply.Answered answered && answered.isSuccess())) {
      return reply.report(console, json);
    }
    return print(answered.body(), json, console);
  }

  private static ExitCode print(JsonNode body, boolean json, Console console) {
    if (json) {
      console.printJson(body);
      return ExitCode.SUCCESS;
    }
    try {
      console.out().print(YAML.writeValueAsString(body));
      return ExitCode.SUCCESS;
    } catch (IOException failure) {
      console.err().println(failure.getMessage());
      return ExitCode.FAILED;
    }
  }
}
