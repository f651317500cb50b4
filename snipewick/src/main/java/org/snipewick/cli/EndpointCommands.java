package org.snipewick.cli;

import static java.util.Objects.requireNonNull;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.snipewick.cli.OperatorClient.Response;

/** Commands that send orders to endpoints through an instance. */
final class EndpointCommands {
  private EndpointCommands() {}

  /** Orders an endpoint to load a model, adapter or version. */
  @Parameters(commandDescription = "order an endpoint to load a model, adapter or version")
  static final class Load extends Order {
    Load() {
      super("load");
    }
  }

  /** Orders an endpoint to unload a model, adapter or version. */
  @Parameters(commandDescription = "order an endpoint to unload a model, adapter or version")
  static final class Unload extends Order {
    Unload() {
      super("unload");
    }
  }

  /** Orders an endpoint to change its role. */
  @Parameters(commandDescription = "order an endpoint to change its role")
  static final class Role extends Order {
    Role() {
      super("role");
    }
  }

  /** Command that sends an order of one kind to an endpoint. */
  abstract static class Order implements Command {
    private final String kind;

    @ParametersDelegate private final OperatorOptions options = new OperatorOptions();

    @Parameter(names = "--pool", description = "pool of the endpoint", required = true)
    private String pool;

    @Parameter(
        names = "--endpoint",
        description = "identifier of an endpoint in the failure domain of the instance",
        required = true)
    private String endpoint;

    @Parameter(description = "MODEL, or ROLE", required = true)
    private String argument;

    Order(String kind) {
      this.kind = requireNonNull(kind, "kind");
    }

    @Override
    public ExitCode run(Console console) {
      ObjectNode body = JsonNodeFactory.instance.objectNode();
      body.put("order", kind).put("argument", argument);
      String path = "/admin/pools/" + encode(pool) + "/endpoints/" + encode(endpoint) + "/orders";
      Response response = options.orderClient().post(path, body);
      return options.finishCommand(response, console, "accepted by " + endpoint);
    }

    private static String encode(String segment) {
      return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }
  }
}
