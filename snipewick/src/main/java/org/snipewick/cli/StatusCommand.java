package org.snipewick.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.snipewick.cli.OperatorClient.Reply;

/** Prints what an instance knows of itself, its peers, pools and the platform. */
@Parameters(commandDescription = "print the status of an instance")
final class StatusCommand implements Command {
  @ParametersDelegate private final OperatorOptions options = new OperatorOptions();

  @Override
  public ExitCode run(Console console) {
    Reply reply = options.client().get("/admin/status");
    if (!(reply instanceof Reply.Answered answered && answered.isSuccess())) {
      return reply.report(console, options.json());
    }
    if (options.json()) {
      console.printJson(answered.body());
      return ExitCode.SUCCESS;
    }
    try {
      console.out().print(new YAMLMapper().writeValueAsString(answered.body()));
      return ExitCode.SUCCESS;
    } catch (JsonProcessingException failure) {
      console.err().println(failure.getOriginalMessage());
      return ExitCode.FAILED;
    }
  }
}
