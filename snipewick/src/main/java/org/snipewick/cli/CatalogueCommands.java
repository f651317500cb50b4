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
import org.snipewick.cli.OperatorClient.Response;

/** Commands that read and edit the catalogue. */
final class CatalogueCommands {
  private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());

  private CatalogueCommands() {}

  /** Prints the current catalogue of an instance. */
  @Parameters(commandDescription = "print the current catalogue of an instance")
  static final class Get implements Command {
    @ParametersDelegate private final OperatorOptions options = new OperatorOptions();

    @Override
    public ExitCode run(Console console) {
      return print(options.client().get("/admin/catalogue"), options.json(), console);
    }
  }

  /**
   * Edits the catalogue, provided that the version that the edits are based on is still current.
   */
  @Parameters(commandDescription = "apply edits from a YAML or JSON file to the catalogue")
  static final class Put implements Command {
    @ParametersDelegate private final OperatorOptions options = new OperatorOptions();

    @Parameter(description = "FILE", required = true, converter = PathConverter.class)
    private Path file;

    @Parameter(
        names = "--base",
        description = "version that the edits are based on; by default the current one")
    private Long baseVersion;

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
      if (baseVersion == null) {
        Response currentCatalogue = client.get("/admin/catalogue");
        if (!(currentCatalogue instanceof Response.Received received && received.isSuccess())) {
          return currentCatalogue.report(console, options.json());
        }
        baseVersion = received.body().path("version").asLong();
      }
      return print(
          client.post("/admin/catalogue/edits", body, baseVersion), options.json(), console);
    }
  }

  /** Prints the accepted changes of the catalogue. */
  @Parameters(commandDescription = "print accepted changes with their operators and times")
  static final class History implements Command {
    @ParametersDelegate private final OperatorOptions options = new OperatorOptions();

    @Parameter(names = "--after", description = "print only changes after this version")
    private long afterVersion;

    @Override
    public ExitCode run(Console console) {
      Response response = options.client().get("/admin/catalogue/history?after=" + afterVersion);
      return print(response, options.json(), console);
    }
  }

  private static ExitCode print(Response response, boolean json, Console console) {
    if (!(response instanceof Response.Received received && received.isSuccess())) {
      return response.report(console, json);
    }
    return print(received.body(), json, console);
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
