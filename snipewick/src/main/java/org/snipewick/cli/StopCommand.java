package org.snipewick.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.snipewick.cli.OperatorClient.Response;

/** Begins the planned stop of an instance. */
@Parameters(commandDescription = "begin the planned stop of an instance")
final class StopCommand implements Command {
  @ParametersDelegate private final OperatorOptions options = new OperatorOptions();

  @Override
  public ExitCode run(Console console) {
    Response response = options.client().post("/admin/stop", JsonNodeFactory.instance.objectNode());
    return options.finishCommand(response, console, "stopping");
  }
}
