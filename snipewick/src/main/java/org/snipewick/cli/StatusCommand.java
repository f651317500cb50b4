package org.snipewick.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.snipewick.cli.OperatorClient.Response;

/** Prints the state of an instance and its view of peers, pools and the platform. */
@Parameters(commandDescription = "print the status of an instance")
final class StatusCommand implements Command {
  @ParametersDelegate private final OperatorOptions options = new OperatorOptions();

  @Override
  public ExitCode run(Console console) {
    Response response = options.client().get("/admin/status");
    if (!(response instanceof Response.Received received && received.isSuccess())) {
      return response.report(console, options.json());
    }
    if (options.json()) {
      console.printJson(received.body());
      return ExitCode.SUCCESS;
    }
    try {
      console.out().print(new YAMLMapper().writeValueAsString(received.body()));
      return ExitCode.SUCCESS;
    } catch (JsonProcessingException failure) {
      console.err().println(failure.getOriginalMessage());
      return ExitCode.FAILED;
    }
  }
}
